package org.siskinlead.core.forwarding;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.forwarding.ForwardingCounters.Latency;
import org.siskinlead.core.forwarding.TargetChooser.CapacityCheck;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.timeline.EventKind;

/**
 * Forwards a request whose response is an event stream. The caller receives only complete events, in order. When a
 * target fails, the stream is resumed on another one after the last delivered event, if the route allows retries.
 */
final class StreamingCall extends AbstractForwardedCall {
    private final StreamRuns runs = new StreamRuns();
    private final StreamTiming timing;
    private boolean started;
    private long lastEventId;

    private StreamingCall(
            ForwardingContext context,
            TargetChooser chooser,
            RequestQueue queue,
            AdmittedRequest admitted,
            Reply reply,
            Runnable onDone) {
        super(context, chooser, queue, admitted, reply, onDone);
        this.lastEventId = admitted.request().lastEventId();
        this.timing = new StreamTiming(context.timers(), admitted.receivedAt());
    }

    static StreamingCall of(
            ForwardingContext context,
            TargetChooser chooser,
            RequestQueue queue,
            AdmittedRequest admitted,
            Reply reply,
            Runnable onDone) {
        return new StreamingCall(context, chooser, queue, admitted, reply, onDone);
    }

    // Sending

    /** Gets the time at which the caller leaves unless it gets an event, less the time until an event of a send arrives. */
    @Override
    public long latestSendAt() {
        long callerLeavesAt =
                context.timers().nowMillis() - timing.sinceDeliveryMillis() + admitted.callerPatienceMillis();
        return Math.min(callerLeavesAt, admitted.deadlineAt())
                - context.answerTimes().expectedMillis(admitted.service().name());
    }

    /** Tells whether the caller has a part of the answer, be it from this daemon or from one before. */
    @Override
    boolean isBegun() {
        return started || lastEventId > 0;
    }

    @Override
    public boolean trySend() {
        if (!started && refuseIfOutlastingDrain()) {
            return true;
        }
        if (isHeldBack()) {
            return endIfBudgetIsLate();
        }
        if (!isAllowedByWindow()) {
            return false;
        }
        Optional<TargetChooser.Choice> choice = chooseWithout(runs.silentInstance());
        if (choice.isEmpty() || !payment.pay(retryPurpose())) {
            return false;
        }
        queue.onSent(this);
        sendHistory.onSent(choice.get().target());
        Attempt next = new Attempt(context, admitted, choice.get(), this);
        attempt = next;
        runs.begin(next);
        timing.onSent();
        next.start(sendHistory.sendCount(), lastEventId, priority());
        return true;
    }

    private Optional<TargetChooser.Choice> chooseWithout(Set<String> instanceIds) {
        return started
                ? chooseToResumeWithout(instanceIds)
                : chooser.choose(admitted, excludedAnd(instanceIds), CapacityCheck.ENFORCED);
    }

    private Optional<TargetChooser.Choice> chooseToResumeWithout(Set<String> instanceIds) {
        return chooser.choose(admitted, excludedAnd(instanceIds), sendHistory::allowsResumeAt, CapacityCheck.ENFORCED);
    }

    private Set<String> excludedAnd(Set<String> instanceIds) {
        Set<String> excluded = new HashSet<>(sendHistory.excludedInstances());
        excluded.addAll(instanceIds);
        return excluded;
    }

    // Responses

    @Override
    public void onHead(Attempt from, TargetResponse response) {
        recordSignals(from, response);
        if (runs.isSilent(from) && !(response.isAuthentic() && response.isSuccess())) {
            runs.cancelSilent();
        } else if (!response.isAuthentic()) {
            from.cancel();
            handleFailure(from, LinkFailure.MALFORMED);
        } else if (response.notRun() || response.status() == MISDIRECTED_REQUEST) {
            from.cancel();
            onTargetRefusal(from, response);
        } else if (!response.isSuccess() && started) {
            from.cancel();
            from.target().onFailure();
            sendHistory.exclude(from.target().entry().instanceId());
            retryOrGiveUp(
                    from.target().entry().id() + " answered with status " + response.status()
                            + " when the stream was resumed",
                    RetryPayment.Cost.BUDGETED);
        } else if (!response.isSuccess() && sendHistory.allowsRetry() && response.isServerError()) {
            from.cancel();
            from.target().onFailure();
            sendHistory.onMayHaveRun();
            retryOrGiveUp(
                    from.target().entry().id() + " answered with status " + response.status(),
                    RetryPayment.Cost.BUDGETED);
        } else {
            runs.of(from).onHead(response);
        }
    }

    @Override
    public void onBodyChunk(Attempt from, byte[] part) {
        StreamRun source = runs.of(from);
        TargetResponse response = source.head();
        if (response == null) {
            return;
        }
        if (!response.isSuccess()) {
            if (!source.addToFailure(part)) {
                from.cancel();
                handleFailure(from, LinkFailure.MALFORMED);
            }
            return;
        }
        try {
            deliver(source, source.decode(part, lastEventId));
        } catch (IllegalStateException e) {
            context.timeline()
                    .record(
                            EventKind.REQUEST_RETRIED,
                            "request",
                            admitted.request().id(),
                            "reason",
                            e);
            from.cancel();
            handleFailure(from, LinkFailure.MALFORMED);
        }
    }

    private void deliver(StreamRun source, StreamRun.Delivery delivery) {
        Attempt from = source.attempt();
        if (delivery.progress()) {
            prefer(from);
        }
        if (delivery.bytes().length > 0 && !runs.isSilent(from)) {
            startIfNeeded(source);
            reply.sendEvents(delivery.bytes());
            if (delivery.progress()) {
                onProgress(from, delivery.lastEventId() - lastEventId);
            }
            lastEventId = delivery.lastEventId();
        }
        if (delivery.gap()) {
            from.cancel();
            handleFailure(from, LinkFailure.MALFORMED);
        } else if (reply.isReaderSlow()) {
            from.cancel();
            abort(Ending.READER_SLOW, "caller reads too slowly");
        }
    }

    private void startIfNeeded(StreamRun source) {
        TargetResponse response = source.head();
        if (!started && response != null) {
            started = true;
            context.counters().increment(Count.STREAMS_BEGUN);
            reply.startStream(response);
        }
    }

    private void onProgress(Attempt from, long events) {
        long sinceSendMillis = timing.onEvents(events);
        if (sinceSendMillis >= 0) {
            from.target().onAnswer((double) sinceSendMillis);
            context.answerTimes().onAnswer(admitted.service().name(), (double) sinceSendMillis);
        }
        sendHistory.onMayHaveRun();
        // A target that has written for as long as its longest pause may be lives on.
        if (timing.hasWrittenFor(admitted.eventGapObjectiveMillis())) {
            from.onProven();
            context.streamPace().onEvents(admitted.service().name(), timing.averageGapMillis());
        }
    }

    @Override
    public void onEnd(Attempt from) {
        StreamRun source = runs.of(from);
        TargetResponse response = source.head();
        if (response == null) {
            handleFailure(from, LinkFailure.MALFORMED);
        } else if (!response.isSuccess() && endIfWronglyNotRun(from, response)) {
            from.target().onFailure();
        } else if (!response.isSuccess()) {
            finish(Ending.ANSWERED, "failed by target", response.status());
            reply.respond(response, source.failureBody());
        } else if (source.isInsideEvent()) {
            handleFailure(from, LinkFailure.BROKEN);
        } else {
            prefer(from);
            startIfNeeded(source);
            from.onProven();
            context.counters().increment(Count.STREAMS_COMPLETE);
            context.counters().recordLatency(Latency.FIRST_EVENT, timing.firstEventMillis());
            context.counters().recordLatency(Latency.LONGEST_PAUSE, timing.longestPauseMillis());
            finish(Ending.ANSWERED, "complete", response.status());
            reply.endStream();
        }
    }

    // Failures

    @Override
    public void onFailure(Attempt from, LinkFailure failure) {
        handleFailure(from, failure);
    }

    private void handleFailure(Attempt from, LinkFailure failure) {
        if (runs.isSilent(from)) {
            runs.forgetSilent();
            sendHistory.exclude(from.target().entry().instanceId());
            return;
        }
        if (failure.mayHaveRun()) {
            sendHistory.onMayHaveRun();
            from.target().onFailure();
            if (failure != LinkFailure.BROKEN || !from.hasLostLaterTarget()) {
                sendHistory.exclude(from.target().entry().instanceId());
            }
            if (failure == LinkFailure.BROKEN) {
                context.prober().onConnectionBroken(from.target(), admitted, from.suspect());
            }
        } else {
            sendHistory.onConnectFailure(from.target());
            from.target().avoid(AVOID_UNREACHABLE_MS);
            context.prober().check(from.target(), admitted.request().id());
        }
        retryOrGiveUp(
                from.target().entry().id() + " failed: " + failure,
                failure.mayHaveRun() ? RetryPayment.Cost.BUDGETED : RetryPayment.Cost.FREE);
    }

    private void onTargetRefusal(Attempt from, TargetResponse response) {
        TargetHealth faulty = avoidFaulty(from, response);
        sendHistory.onNotRun(from.target());
        retryOrGiveUp(
                faulty.entry().id() + " refused the request with status " + response.status(),
                RetryPayment.Cost.BUDGETED);
    }

    @Override
    public void onTargetDown(String instanceId, TargetLoss loss) {
        if (loss == TargetLoss.ENDED) {
            runs.cancelSilentOn(instanceId);
            sendHistory.exclude(instanceId);
        }
        Attempt current = attempt;
        if (current == null && started && !runs.hasSilent() && !sendHistory.allowsResume()) {
            giveUp(instanceId + " was found down, and no other target may run the stream");
            return;
        }
        if (current == null || !current.usesInstance(instanceId)) {
            return;
        }
        if (loss == TargetLoss.SILENT) {
            resumeBeside(current, instanceId + " is silent");
            return;
        }
        current.cancel();
        sendHistory.onMayHaveRun();
        retryOrGiveUp(instanceId + " was found down", RetryPayment.Cost.BUDGETED);
    }

    @Override
    void retryOrGiveUp(String reason, RetryPayment.Cost cost) {
        if (!started) {
            super.retryOrGiveUp(reason, cost);
            return;
        }
        lastFailure = reason;
        attempt = null;
        if (sendHistory.allowsResume()) {
            payment.onDue(cost);
            retry(reason);
        } else {
            giveUp(reason);
        }
    }

    @Override
    boolean hasDelivered() {
        return lastEventId > 0;
    }

    @Override
    void retry(String reason) {
        context.counters().increment(started ? Count.STREAMS_RESUMED : Count.RETRIED);
        context.timeline()
                .record(
                        started ? EventKind.REQUEST_RESUMED : EventKind.REQUEST_RETRIED,
                        "request",
                        admitted.request().id(),
                        "reason",
                        reason,
                        "afterEvent",
                        lastEventId);
        sendOrWait();
    }

    @Override
    RetryBudgetShare.Purpose retryPurpose() {
        return started ? RetryBudgetShare.Purpose.RESUME_OR_BUFFERED : RetryBudgetShare.Purpose.STREAM_START;
    }

    @Override
    Refusal failureRefusal(String reason) {
        return Refusal.failed(RefusalCode.TARGETS_FAILED, reason, 0);
    }

    /** Sends the stream elsewhere while its current run is kept; the first of both that writes an event stays. */
    private void resumeBeside(Attempt current, String reason) {
        sendHistory.onMayHaveRun();
        if (started ? !sendHistory.allowsResume() : !sendHistory.allowsRetry()) {
            return;
        }
        if (runs.hasSilent()) {
            // The current run has written nothing yet.
            current.cancel();
        } else {
            runs.keepAsSilent();
        }
        retryOrGiveUp(reason, RetryPayment.Cost.BUDGETED);
    }

    /** Continues with the attempt that has written an event, and cancels the other one. */
    private void prefer(Attempt writing) {
        if (!runs.isSilent(writing)) {
            runs.cancelSilent();
            return;
        }
        if (attempt != null) {
            attempt.cancel();
        }
        continueSilentRun();
    }

    private void continueSilentRun() {
        queue.remove(this);
        attempt = runs.continueSilent();
        timing.onContinued();
    }

    @Override
    void finish(Ending ending, String reason, int status) {
        runs.cancelSilent();
        super.finish(ending, reason, status);
    }

    @Override
    void giveUp(Ending ending, String reason) {
        if (runs.hasSilent() && !isDone()) {
            // Nothing else can run the stream; its target may still go on.
            continueSilentRun();
        } else if (started) {
            abort(ending, reason);
        } else {
            super.giveUp(ending, reason);
        }
    }

    // Stall detection

    StreamTiming.Status timingStatus() {
        return attempt == null || isDone() ? StreamTiming.Status.UNKNOWN : timing.status();
    }

    /** Gets the current path of the stream; null while the request is queued or when one target runs it alone. */
    @Nullable
    HopPath path() {
        return attempt == null ? null : attempt.path();
    }

    /** Resumes a stream without progress elsewhere, if possible, although all targets of its path answer probes. */
    void resumeIfStuck() {
        Attempt current = attempt;
        if (current == null
                || isDone()
                || lastEventId == 0
                || !timing.isStuck(admitted.callerPatienceMillis())
                || !sendHistory.allowsResume()) {
            return;
        }
        String instanceId = current.target().entry().instanceId();
        if (runs.hasSilent() || chooseToResumeWithout(Set.of(instanceId)).isEmpty()) {
            return;
        }
        current.target().onFailure();
        resumeBeside(current, instanceId + " stopped making progress");
    }

    /** Excludes a pause of this process from the stream's timing, so that no target is suspected for it. */
    void discountPause() {
        timing.discountPause();
    }

    // End

    @Override
    void onDeadline() {
        if (started) {
            abort(Ending.TIMED_OUT, "deadline passed");
        } else if (sendHistory.sendCount() > 0) {
            endAtDeadline();
        } else {
            refuse(RefusalCode.OVERLOADED, "no target had free capacity before the deadline");
        }
    }

    @Override
    public void terminate(String reason) {
        if (started) {
            abort(Ending.DAEMON_STOPPED, reason);
        } else {
            super.terminate(reason);
        }
    }

    private void abort(Ending ending, String reason) {
        if (isDone()) {
            return;
        }
        context.counters().increment(Count.STREAMS_ABORTED);
        end(ending, reason, 0);
        reply.abort();
    }

    @Override
    List<Object> outcomeDetails() {
        return List.of(
                "lastEvent",
                lastEventId,
                "firstEventMs",
                timing.firstEventMillis(),
                "longestPauseMs",
                timing.longestPauseMillis());
    }
}
