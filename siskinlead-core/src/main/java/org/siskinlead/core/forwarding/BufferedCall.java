package org.siskinlead.core.forwarding;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.forwarding.ForwardingCounters.Latency;
import org.siskinlead.core.forwarding.TargetChooser.CapacityCheck;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.timeline.EventKind;

/**
 * Forwards a request and buffers the response until it is complete. A request that is not idempotent is sent to another
 * target only when it is known that no target has executed it.
 */
final class BufferedCall extends AbstractForwardedCall implements ResponseMemory.Holder {
    /** Wait for the response head of a safe request before another target is tried, in average target latencies. */
    private static final double HEAD_TIMEOUT_LATENCIES = 5;
    /** Time for which a target that refused a request without running it is avoided. */
    private static final long AVOID_AFTER_REFUSAL_MS = 100;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable TargetResponse head;
    /** Whether the last target has answered with an error, which the caller gets unless another one answers. */
    private boolean holdsAnswer;

    private Timer headTimeout = () -> {};

    private BufferedCall(
            ForwardingContext context,
            TargetChooser chooser,
            RequestQueue queue,
            AdmittedRequest admitted,
            Reply reply,
            Runnable onDone) {
        super(context, chooser, queue, admitted, reply, onDone);
    }

    static BufferedCall of(
            ForwardingContext context,
            TargetChooser chooser,
            RequestQueue queue,
            AdmittedRequest admitted,
            Reply reply,
            Runnable onDone) {
        return new BufferedCall(context, chooser, queue, admitted, reply, onDone);
    }

    // Sending

    /** Gets the time at which the caller or the route gives up, less the time until a target has answered. */
    @Override
    public long latestSendAt() {
        return admitted.deadlineAt()
                - context.answerTimes().expectedMillis(admitted.service().name());
    }

    @Override
    boolean isBegun() {
        return false;
    }

    @Override
    public boolean trySend() {
        if (isHeldBack()) {
            return endIfBudgetIsLate();
        }
        if (!isAllowedByWindow()) {
            return false;
        }
        Optional<TargetChooser.Choice> choice =
                chooser.choose(admitted, sendHistory.excludedInstances(), CapacityCheck.ENFORCED);
        if (choice.isEmpty() || !payment.pay(retryPurpose())) {
            return false;
        }
        discardBody();
        head = null;
        holdsAnswer = false;
        queue.onSent(this);
        sendHistory.onSent(choice.get().target());
        Attempt next = new Attempt(context, admitted, choice.get(), this);
        attempt = next;
        if (admitted.route().kind() == RouteKind.SAFE) {
            headTimeout = context.timers().after(headTimeoutMillis(choice.get().target()), () -> onHeadTimeout(next));
        }
        next.start(sendHistory.sendCount(), 0, priority());
        return true;
    }

    /** Gets the wait after which an answer is unlikely, at most so long that each further target gets as much time. */
    private long headTimeoutMillis(TargetHealth target) {
        long leftMillis = Math.max(1, admitted.deadlineAt() - context.timers().nowMillis());
        int sendsLeft = Math.max(1, admitted.route().maxAttempts() - sendHistory.sendCount() + 1);
        return Math.round(Math.min(HEAD_TIMEOUT_LATENCIES * target.latencyMillis(), leftMillis / (double) sendsLeft));
    }

    // Responses

    @Override
    public void onHead(Attempt from, TargetResponse response) {
        recordSignals(from, response);
        head = response;
        if (!response.isAuthentic()) {
            from.cancel();
            handleFailure(from, LinkFailure.MALFORMED);
        } else if (response.notRun() || response.status() == MISDIRECTED_REQUEST) {
            from.cancel();
            from.target().avoid(AVOID_AFTER_REFUSAL_MS);
            sendHistory.exclude(from.target().entry().instanceId());
            retryOrGiveUp(
                    from.target().entry().id() + " refused the request with status " + response.status(),
                    RetryPayment.Cost.BUDGETED);
        }
    }

    @Override
    public void onBodyChunk(Attempt from, byte[] part) {
        body.writeBytes(part);
        context.responseMemory().onBuffered(this, part.length);
    }

    @Override
    public void onMemoryExhausted() {
        Attempt current = attempt;
        body.reset();
        holdsAnswer = false;
        if (current != null) {
            current.cancel();
            handleFailure(current, LinkFailure.MALFORMED);
        }
    }

    private void discardBody() {
        body.reset();
        context.responseMemory().release(this);
    }

    @Override
    public void onEnd(Attempt from) {
        headTimeout.cancel();
        TargetResponse response = head;
        if (response == null) {
            handleFailure(from, LinkFailure.MALFORMED);
            return;
        }
        from.onProven();
        sendHistory.onMayHaveRun();
        if (response.isServerError()) {
            from.target().onFailure();
            sendHistory.exclude(from.target().entry().instanceId());
            if (sendHistory.allowsRetry()) {
                holdsAnswer = true;
                retryOrGiveUp(
                        from.target().entry().id() + " answered with status " + response.status(),
                        RetryPayment.Cost.BUDGETED);
                return;
            }
        } else {
            from.target().onAnswer((double) from.elapsedMillis());
            context.answerTimes().onAnswer(admitted.service().name(), (double) from.elapsedMillis());
        }
        if (!endIfWronglyNotRun(from, response)) {
            deliver(response);
        }
    }

    @Override
    void giveUp(Ending ending, String reason) {
        TargetResponse answer = head;
        if (holdsAnswer && answer != null && !isDone()) {
            deliver(answer);
        } else {
            super.giveUp(ending, reason);
        }
    }

    private void deliver(TargetResponse response) {
        long tookMillis = context.timers().nowMillis() - admitted.receivedAt();
        context.counters()
                .increment(
                        tookMillis > admitted.route().latencyObjectiveMillis() ? Count.ANSWERED_LATE : Count.ANSWERED);
        context.counters().recordLatency(Latency.ANSWER, tookMillis);
        finish(Ending.ANSWERED, "answered", response.status());
        reply.respond(response, body.toByteArray());
    }

    // Failures

    @Override
    public void onFailure(Attempt from, LinkFailure failure) {
        handleFailure(from, failure);
    }

    private void handleFailure(Attempt from, LinkFailure failure) {
        headTimeout.cancel();
        TargetHealth target = from.target();
        sendHistory.exclude(target.entry().instanceId());
        if (failure.mayHaveRun()) {
            sendHistory.onMayHaveRun();
            target.onFailure();
            if (failure == LinkFailure.BROKEN) {
                context.prober().onConnectionBroken(target, admitted, from.suspect());
            }
        } else {
            sendHistory.onConnectFailure(target);
            target.avoid(AVOID_UNREACHABLE_MS);
        }
        retryOrGiveUp(
                target.entry().id() + " failed: " + failure,
                failure.mayHaveRun() ? RetryPayment.Cost.BUDGETED : RetryPayment.Cost.FREE);
    }

    /** Retries a safe request on another target when no response head has arrived within the timeout. */
    private void onHeadTimeout(Attempt waiting) {
        if (!isDone() && attempt == waiting && head == null) {
            retryIfOtherHasCapacity(waiting, waiting.target().entry().id() + " sent no response head in time");
        }
    }

    /** Gives up an attempt that may still be answered, but only for a target that can take the request now. */
    private void retryIfOtherHasCapacity(Attempt waiting, String reason) {
        if (!admitted.route().isIdempotent() || !sendHistory.allowsRetry()) {
            return;
        }
        sendHistory.exclude(waiting.target().entry().instanceId());
        boolean hasOtherTarget = chooser.choose(admitted, sendHistory.excludedInstances(), CapacityCheck.ENFORCED)
                .isPresent();
        if (hasOtherTarget
                && context.retryBudget().millisToAcquire(admitted.service().name(), retryPurpose()) == 0) {
            headTimeout.cancel();
            waiting.target().onFailure();
            waiting.cancel();
            sendHistory.onMayHaveRun();
            retryOrGiveUp(reason, RetryPayment.Cost.BUDGETED);
        }
    }

    @Override
    RetryBudgetShare.Purpose retryPurpose() {
        return RetryBudgetShare.Purpose.RESUME_OR_BUFFERED;
    }

    @Override
    boolean hasDelivered() {
        return false;
    }

    @Override
    void retry(String reason) {
        context.counters().increment(Count.RETRIED);
        context.timeline()
                .record(EventKind.REQUEST_RETRIED, "request", admitted.request().id(), "reason", reason);
        sendOrWait();
    }

    @Override
    Refusal failureRefusal(String reason) {
        return admitted.route().isIdempotent()
                ? Refusal.failed(RefusalCode.TARGETS_FAILED, reason, 0)
                : Refusal.unknown(reason);
    }

    @Override
    public void onTargetDown(String instanceId, TargetLoss loss) {
        Attempt current = attempt;
        if (current == null || !current.usesInstance(instanceId)) {
            return;
        }
        if (loss == TargetLoss.SILENT) {
            retryIfOtherHasCapacity(current, instanceId + " is silent");
            return;
        }
        current.cancel();
        handleFailure(current, LinkFailure.BROKEN);
    }

    // End

    @Override
    void onDeadline() {
        if (isDone()) {
            return;
        }
        if (holdsAnswer) {
            giveUp("no other target answered before the deadline");
        } else if (attempt == null && !sendHistory.mayHaveRun()) {
            refuse(RefusalCode.OVERLOADED, "no usable target before the deadline");
        } else {
            endAtDeadline();
        }
    }

    @Override
    void finish(Ending ending, String reason, int status) {
        headTimeout.cancel();
        context.responseMemory().release(this);
        super.finish(ending, reason, status);
    }

    @Override
    List<Object> outcomeDetails() {
        return List.of();
    }
}
