package org.siskinlead.core.forwarding;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.forwarding.ForwardingCounters.Latency;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.timeline.EventKind;

/**
 * Forwards a request whose answer is a series of events. Only whole events in their order reach the caller. A stream that
 * loses its target goes on elsewhere after the last event that was delivered, where its route allows that.
 */
final class StreamCall extends OpenCall {
    /** Wait for a first place, in objectives; beyond that a caller is better told when to come back. */
    private static final double FIRST_WAIT_OBJECTIVES = 2.4;
    /** Wait while no path exists at all, in objectives. */
    private static final double NO_PATH_WAIT_OBJECTIVES = 0.5;
    /** Wait for a place to go on; callers leave a stream that pauses for two seconds. */
    private static final long RESUME_WAIT_MS = 1_500;
    /** Priority of a stream that goes on: its caller already waits in the middle of an answer. */
    private static final int RESUMED_PRIORITY = 0;
    /** Time for which a target that refused a request as not run gets no other. */
    private static final long AVOID_AFTER_REFUSAL_MS = 300;
    /** Time for which a target that another one blames gets no request. */
    private static final long AVOID_BLAMED_MS = 700;

    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
    private final StreamRhythm rhythm;
    private EventSplitter splitter = new EventSplitter();
    private boolean started;
    private long lastEvent;
    private String lastProblem = "";

    private StreamCall(
            ForwardingContext context,
            TargetChooser chooser,
            WaitingLine line,
            Admitted call,
            Reply reply,
            Runnable onDone) {
        super(context, chooser, line, call, reply, onDone);
        this.lastEvent = call.request().lastEvent();
        this.rhythm = new StreamRhythm(context.timers(), call.receivedAt());
    }

    static StreamCall of(
            ForwardingContext context,
            TargetChooser chooser,
            WaitingLine line,
            Admitted call,
            Reply reply,
            Runnable onDone) {
        return new StreamCall(context, chooser, line, call, reply, onDone);
    }

    // Sending

    @Override
    void sendOrWait() {
        boolean lineFree = line.length() == 0 || resuming();
        if (lineFree && trySend()) {
            return;
        }
        long objective = call.route().latencyObjectiveMillis();
        boolean pathExists =
                chooser.choose(call, sends.excluded(), MemoryCheck.SKIPPED).isPresent();
        long wait = resuming()
                ? RESUME_WAIT_MS
                : Math.round(objective * (pathExists ? FIRST_WAIT_OBJECTIVES : NO_PATH_WAIT_OBJECTIVES));
        if (!resuming() && line.isTooLongFor(wait)) {
            refuse(RefusalCode.QUEUE_FULL, "too many requests wait for room on the targets");
            return;
        }
        context.counters().add(Count.QUEUED);
        context.timeline()
                .record(
                        EventKind.REQUEST_QUEUED,
                        "request",
                        call.request().id(),
                        "ahead",
                        line.length(),
                        "atMostMs",
                        wait,
                        "pathExists",
                        pathExists);
        line.add(this, wait);
    }

    @Override
    public int priority() {
        return resuming() ? RESUMED_PRIORITY : 1 + call.priority();
    }

    @Override
    public boolean trySend() {
        Optional<TargetChooser.Choice> choice = chooser.choose(call, sends.excluded(), MemoryCheck.ENFORCED);
        if (choice.isEmpty()) {
            return false;
        }
        line.onSent();
        splitter = new EventSplitter();
        failureBody.reset();
        head = started ? head : null;
        sends.onSent(choice.get().target());
        Attempt next = new Attempt(context, call, choice.get(), this);
        attempt = next;
        rhythm.onSent();
        next.start(sends.sends(), lastEvent, priority());
        return true;
    }

    @Override
    public void onExpired() {
        giveUp(lastProblem.isEmpty() ? "no room on the targets" : "no room on other targets after " + lastProblem);
    }

    /** Tells whether the caller already waits in the middle of an answer, also when it came back with a part of one. */
    private boolean resuming() {
        return sends.sends() > 0 || lastEvent > 0;
    }

    // Answers

    @Override
    public void onHead(Attempt from, TargetAnswer answer) {
        if (answer.load() >= 0) {
            from.target().onLoad(answer.load());
        }
        if (!answer.isGenuine()) {
            from.cancel();
            failed(from, LinkFailure.MALFORMED);
        } else if (answer.notRun() || answer.status() == MISDIRECTED) {
            from.cancel();
            refusedByTarget(from, answer);
        } else if (!answer.isSuccess() && sends.allowsAnother() && answer.isServerError()) {
            from.cancel();
            from.target().onFailure();
            sends.onMayHaveRun();
            again("target answered " + answer.status(), RetryShare.Cost.BUDGETED);
        } else if (!answer.isSuccess() && started) {
            from.cancel();
            abort("target answered " + answer.status() + " to the rest of the stream");
        } else if (!started) {
            head = answer;
        }
    }

    @Override
    public void onPart(Attempt from, byte[] part) {
        TargetAnswer answer = head;
        if (answer == null) {
            return;
        }
        if (!answer.isSuccess()) {
            failureBody.writeBytes(part);
            return;
        }
        try {
            deliver(from, splitter.feed(part));
        } catch (IllegalStateException e) {
            context.timeline()
                    .record(EventKind.REQUEST_RETRIED, "request", call.request().id(), "reason", e);
            from.cancel();
            failed(from, LinkFailure.MALFORMED);
        }
    }

    private void deliver(Attempt from, List<EventSplitter.Event> events) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        long next = lastEvent;
        boolean gap = false;
        for (EventSplitter.Event event : events) {
            if (event.id() > next + 1) {
                gap = true;
                break;
            }
            if (event.id() == next + 1) {
                next++;
                whole.writeBytes(event.bytes());
            } else if (event.id() == EventSplitter.NO_ID) {
                whole.writeBytes(event.bytes());
            }
        }
        if (whole.size() > 0) {
            startIfNeeded();
            reply.sendEvents(whole.toByteArray());
            onProgress(from, next - lastEvent);
            lastEvent = next;
        }
        if (gap) {
            from.cancel();
            failed(from, LinkFailure.MALFORMED);
        } else if (reply.isReaderSlow()) {
            from.cancel();
            abort("caller reads too slowly");
        }
    }

    private void startIfNeeded() {
        TargetAnswer answer = head;
        if (!started && answer != null) {
            started = true;
            context.counters().add(Count.STREAMS_BEGUN);
            reply.startStream(answer);
        }
    }

    private void onProgress(Attempt from, long events) {
        long sinceSend = rhythm.onEvents(events);
        if (sinceSend >= 0) {
            from.target().onAnswer((double) sinceSend);
        }
        sends.onMayHaveRun();
    }

    @Override
    public void onEnd(Attempt from) {
        TargetAnswer answer = head;
        if (answer == null) {
            failed(from, LinkFailure.MALFORMED);
        } else if (!answer.isSuccess()) {
            finish("failed by target", answer.status());
            reply.answer(answer, failureBody.toByteArray());
        } else if (splitter.isInsideEvent()) {
            failed(from, LinkFailure.BROKEN);
        } else {
            startIfNeeded();
            context.counters().add(Count.STREAMS_COMPLETE);
            context.counters().time(Latency.FIRST_EVENT, rhythm.firstEventAfter());
            context.counters().time(Latency.LONGEST_PAUSE, rhythm.longestPause());
            finish("complete", answer.status());
            reply.endStream();
        }
    }

    // Failures

    @Override
    public void onFailure(Attempt from, LinkFailure failure) {
        failed(from, failure);
    }

    private void failed(Attempt from, LinkFailure failure) {
        lastProblem = from.target().entry().id() + " " + failure;
        if (failure.mayHaveRun()) {
            sends.onMayHaveRun();
            from.target().onFailure();
            sends.exclude(from.target().entry().instanceId());
            if (failure == LinkFailure.BROKEN) {
                context.watch().onBroken(from.target(), call);
            }
        } else {
            sends.onUnsent(from.target());
            from.target().avoid(AVOID_UNREACHABLE_MS);
            context.watch().check(from.target(), call.request().id());
        }
        again(lastProblem, failure.mayHaveRun() ? RetryShare.Cost.BUDGETED : RetryShare.Cost.FREE);
    }

    private void refusedByTarget(Attempt from, TargetAnswer answer) {
        TargetHealth blamed =
                context.registry().findByAddress(answer.faultAddress()).orElse(from.target());
        boolean other = blamed != from.target();
        blamed.avoid(other ? AVOID_BLAMED_MS : AVOID_AFTER_REFUSAL_MS);
        if (other) {
            context.watch().check(blamed, call.request().id());
        }
        lastProblem = blamed.entry().id() + " refused with " + answer.status();
        again(lastProblem, RetryShare.Cost.BUDGETED);
    }

    @Override
    public void onTargetDown(String life) {
        Attempt current = attempt;
        if (current == null || !current.includes(life)) {
            return;
        }
        current.cancel();
        sends.exclude(life);
        sends.onMayHaveRun();
        lastProblem = life + " is down";
        again(lastProblem, RetryShare.Cost.BUDGETED);
    }

    @Override
    void resend(String reason) {
        context.counters().add(started ? Count.STREAMS_RESUMED : Count.RETRIED);
        context.timeline()
                .record(
                        started ? EventKind.REQUEST_RESUMED : EventKind.REQUEST_RETRIED,
                        "request",
                        call.request().id(),
                        "reason",
                        reason,
                        "afterEvent",
                        lastEvent);
        sendOrWait();
    }

    @Override
    RetryShare.Use retryUse() {
        return started ? RetryShare.Use.REST_OF_ANSWER : RetryShare.Use.FIRST_ANSWER;
    }

    @Override
    Refusal unanswered(String reason) {
        return Refusal.failed(RefusalCode.TARGETS_FAILED, reason, 0);
    }

    @Override
    void giveUp(String reason) {
        if (started) {
            abort(reason);
        } else {
            super.giveUp(reason);
        }
    }

    // Watching

    StreamRhythm.Pace pace() {
        return attempt == null || isDone() ? StreamRhythm.Pace.UNSURE : rhythm.pace();
    }

    /** Gets the path that the stream takes now; null while it waits or when one target runs it alone. */
    @Nullable
    HopPath path() {
        Attempt current = attempt;
        return current == null ? null : current.path();
    }

    /** Takes note that this daemon itself stood still, so that the pause is not the targets'. */
    void forgivePause() {
        rhythm.forgivePause();
    }

    // Ends

    @Override
    void onDeadline() {
        if (started) {
            abort("deadline passed");
        } else if (sends.sends() > 0) {
            endAtDeadline();
        } else {
            refuse(RefusalCode.OVERLOADED, "no room before the deadline");
        }
    }

    @Override
    public void cut(String reason) {
        if (started) {
            abort(reason);
        } else {
            super.cut(reason);
        }
    }

    private void abort(String reason) {
        if (isDone()) {
            return;
        }
        context.counters().add(Count.STREAMS_ABORTED);
        end(reason, 0);
        reply.abort();
    }

    @Override
    List<Object> outcomeDetails() {
        return List.of(
                "lastEvent",
                lastEvent,
                "firstEventMs",
                rhythm.firstEventAfter(),
                "longestPauseMs",
                rhythm.longestPause());
    }
}
