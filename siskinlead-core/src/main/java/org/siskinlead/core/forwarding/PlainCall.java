package org.siskinlead.core.forwarding;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.forwarding.ForwardingCounters.Latency;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.timeline.EventKind;

/**
 * Forwards a request whose answer is delivered whole. A request that may run once only is sent to a further target only
 * when it is known that no target ran it.
 */
final class PlainCall extends OpenCall {
    /** Wait for a target while none is usable, in objectives. */
    private static final double WAIT_OBJECTIVES = 0.5;
    /** Wait for the head of a safe answer before another target is asked, in usual latencies. */
    private static final double PATIENCE_LATENCIES = 5;
    /** The same wait at most and at least, in objectives. */
    private static final double MOST_PATIENCE_OBJECTIVES = 0.8;

    private static final double LEAST_PATIENCE_OBJECTIVES = 0.4;
    /** Time for which a target that refused a request as not run gets no other. */
    private static final long AVOID_AFTER_REFUSAL_MS = 100;

    private static final int MAX_BODY_BYTES = 16_777_216;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Timer patience = () -> {};

    private PlainCall(
            ForwardingContext context,
            TargetChooser chooser,
            WaitingLine line,
            Admitted call,
            Reply reply,
            Runnable onDone) {
        super(context, chooser, line, call, reply, onDone);
    }

    static PlainCall of(
            ForwardingContext context,
            TargetChooser chooser,
            WaitingLine line,
            Admitted call,
            Reply reply,
            Runnable onDone) {
        return new PlainCall(context, chooser, line, call, reply, onDone);
    }

    // Sending

    @Override
    void sendOrWait() {
        if (!trySend()) {
            context.counters().add(Count.QUEUED);
            line.add(this, Math.round(WAIT_OBJECTIVES * call.route().latencyObjectiveMillis()));
        }
    }

    @Override
    public int priority() {
        return call.priority();
    }

    @Override
    public boolean trySend() {
        Optional<TargetChooser.Choice> choice = chooser.choose(call, sends.excluded(), MemoryCheck.ENFORCED);
        if (choice.isEmpty()) {
            return false;
        }
        body.reset();
        head = null;
        sends.onSent(choice.get().target());
        Attempt next = new Attempt(context, call, choice.get(), this);
        attempt = next;
        if (call.route().kind() == RouteKind.SAFE) {
            patience = context.timers().after(patienceMillis(choice.get().target()), () -> onImpatience(next));
        }
        next.start(sends.sends(), 0, call.priority());
        return true;
    }

    private long patienceMillis(TargetHealth target) {
        long objective = call.route().latencyObjectiveMillis();
        double usual = PATIENCE_LATENCIES * target.latencyMillis();
        return Math.round(
                Math.max(LEAST_PATIENCE_OBJECTIVES * objective, Math.min(MOST_PATIENCE_OBJECTIVES * objective, usual)));
    }

    @Override
    public void onExpired() {
        giveUp("no target is usable");
    }

    // Answers

    @Override
    public void onHead(Attempt from, TargetAnswer answer) {
        if (answer.load() >= 0) {
            from.target().onLoad(answer.load());
        }
        head = answer;
        if (!answer.isGenuine()) {
            from.cancel();
            failed(from, LinkFailure.MALFORMED);
        } else if (answer.notRun() || answer.status() == MISDIRECTED) {
            from.cancel();
            from.target().avoid(AVOID_AFTER_REFUSAL_MS);
            sends.exclude(from.target().entry().instanceId());
            again(from.target().entry().id() + " refused with " + answer.status(), RetryShare.Cost.BUDGETED);
        }
    }

    @Override
    public void onPart(Attempt from, byte[] part) {
        body.writeBytes(part);
        if (body.size() > MAX_BODY_BYTES) {
            from.cancel();
            failed(from, LinkFailure.MALFORMED);
        }
    }

    @Override
    public void onEnd(Attempt from) {
        patience.cancel();
        TargetAnswer answer = head;
        if (answer == null) {
            failed(from, LinkFailure.MALFORMED);
            return;
        }
        sends.onMayHaveRun();
        if (answer.isServerError()) {
            from.target().onFailure();
            sends.exclude(from.target().entry().instanceId());
            if (sends.allowsAnother()
                    && context.retries().tryRetry(call.service().name(), RetryShare.Use.REST_OF_ANSWER)) {
                resend(from.target().entry().id() + " answered " + answer.status());
                return;
            }
        } else {
            from.target().onAnswer((double) from.elapsedMillis());
        }
        deliver(answer);
    }

    private void deliver(TargetAnswer answer) {
        long took = context.timers().nowMillis() - call.receivedAt();
        context.counters().add(took > call.route().latencyObjectiveMillis() ? Count.ANSWERED_LATE : Count.ANSWERED);
        context.counters().time(Latency.ANSWER, took);
        finish("answered", answer.status());
        reply.answer(answer, body.toByteArray());
    }

    // Failures

    @Override
    public void onFailure(Attempt from, LinkFailure failure) {
        failed(from, failure);
    }

    private void failed(Attempt from, LinkFailure failure) {
        patience.cancel();
        TargetHealth target = from.target();
        sends.exclude(target.entry().instanceId());
        if (failure.mayHaveRun()) {
            sends.onMayHaveRun();
            target.onFailure();
            if (failure == LinkFailure.BROKEN) {
                context.watch().onBroken(target, call);
            }
        } else {
            sends.onUnsent(target);
            target.avoid(AVOID_UNREACHABLE_MS);
        }
        again(
                target.entry().id() + " " + failure,
                failure.mayHaveRun() ? RetryShare.Cost.BUDGETED : RetryShare.Cost.FREE);
    }

    /** Asks another target when one takes much longer than usual over a request that may run twice. */
    private void onImpatience(Attempt waiting) {
        if (isDone() || attempt != waiting || head != null || !sends.allowsAnother()) {
            return;
        }
        sends.exclude(waiting.target().entry().instanceId());
        boolean otherTarget =
                chooser.choose(call, sends.excluded(), MemoryCheck.ENFORCED).isPresent();
        if (otherTarget && context.retries().tryRetry(call.service().name(), RetryShare.Use.REST_OF_ANSWER)) {
            waiting.target().onFailure();
            waiting.cancel();
            sends.onMayHaveRun();
            resend(waiting.target().entry().id() + " did not answer in time");
        }
    }

    @Override
    RetryShare.Use retryUse() {
        return RetryShare.Use.REST_OF_ANSWER;
    }

    @Override
    void resend(String reason) {
        attempt = null;
        context.counters().add(Count.RETRIED);
        context.timeline()
                .record(EventKind.REQUEST_RETRIED, "request", call.request().id(), "reason", reason);
        sendOrWait();
    }

    @Override
    Refusal unanswered(String reason) {
        return call.route().isIdempotent()
                ? Refusal.failed(RefusalCode.TARGETS_FAILED, reason, 0)
                : Refusal.unknown(reason);
    }

    @Override
    public void onTargetDown(String life) {
        Attempt current = attempt;
        if (current != null && current.includes(life)) {
            current.cancel();
            failed(current, LinkFailure.BROKEN);
        }
    }

    // Ends

    @Override
    void onDeadline() {
        if (isDone()) {
            return;
        }
        if (attempt == null && !sends.mayHaveRun()) {
            refuse(RefusalCode.OVERLOADED, "no target was usable before the deadline");
        } else {
            endAtDeadline();
        }
    }

    @Override
    void finish(String reason, int status) {
        patience.cancel();
        super.finish(reason, status);
    }

    @Override
    List<Object> outcomeDetails() {
        return List.of();
    }
}
