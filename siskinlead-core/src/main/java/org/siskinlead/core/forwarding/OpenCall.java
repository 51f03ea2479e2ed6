package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.timeline.EventKind;

/** A request without its one outcome yet: what is the same whether its answer is delivered whole or as a stream. */
abstract class OpenCall implements ForwardedCall, Attempt.Owner, WaitingLine.Waiter {
    /** Time for which a target that accepts no connection gets no request. */
    static final long AVOID_UNREACHABLE_MS = 1_000;

    static final int MISDIRECTED = 421;

    final ForwardingContext context;
    final TargetChooser chooser;
    final WaitingLine line;
    final Admitted call;
    final Reply reply;
    final SendRecord sends;
    private final Runnable onDone;
    private final Timer deadline;

    @Nullable
    Attempt attempt;

    @Nullable
    TargetAnswer head;

    private boolean done;

    OpenCall(
            ForwardingContext context,
            TargetChooser chooser,
            WaitingLine line,
            Admitted call,
            Reply reply,
            Runnable onDone) {
        this.context = context;
        this.chooser = chooser;
        this.line = line;
        this.call = call;
        this.reply = reply;
        this.onDone = onDone;
        this.sends = new SendRecord(context, call);
        this.deadline =
                context.timers().after(call.deadlineAt() - context.timers().nowMillis(), this::onDeadline);
    }

    // Queries

    final boolean isDone() {
        return done;
    }

    @Override
    public final boolean includes(String life) {
        Attempt current = attempt;
        return current != null && current.includes(life);
    }

    @Override
    public final Admitted admitted() {
        return call;
    }

    // What differs

    /** Sends the request now, or makes it wait in line. */
    abstract void sendOrWait();

    /** Sends the request to a further target, which was allowed. */
    abstract void resend(String reason);

    /** What a further send is for. */
    abstract RetryShare.Use retryUse();

    /** Makes the refusal of a request that a target may have run without an answer. */
    abstract Refusal unanswered(String reason);

    /** Runs when the time for the request is over. */
    abstract void onDeadline();

    /** Gets what else is recorded of the outcome, names and values by turns. */
    abstract List<Object> outcomeDetails();

    // What is the same

    @Override
    public final void begin() {
        sendOrWait();
    }

    final void again(String reason, RetryShare.Cost cost) {
        attempt = null;
        if (!sends.allowsAnother()) {
            giveUp(reason);
        } else if (cost == RetryShare.Cost.BUDGETED
                && !context.retries().tryRetry(call.service().name(), retryUse())) {
            context.counters().add(Count.RETRIES_DENIED);
            giveUp(reason + "; retry budget is spent");
        } else {
            resend(reason);
        }
    }

    void giveUp(String reason) {
        if (done) {
            return;
        }
        if (!sends.mayHaveRun()) {
            refuse(RefusalCode.OVERLOADED, reason);
            return;
        }
        Refusal refusal = unanswered(reason);
        finish(reason, refusal.code().status());
        context.counters().refused(refusal.code());
        reply.refuse(refusal);
    }

    final void endAtDeadline() {
        end("deadline passed", RefusalCode.DEADLINE_EXCEEDED.status());
        context.counters().refused(RefusalCode.DEADLINE_EXCEEDED);
        reply.refuse(Refusal.failed(RefusalCode.DEADLINE_EXCEEDED, "deadline passed", 0));
    }

    @Override
    public final void callerLeft() {
        if (!done) {
            context.counters().add(Count.CALLER_LEFT);
            end("caller left", 0);
        }
    }

    @Override
    public void cut(String reason) {
        if (sends.mayHaveRun() || attempt != null) {
            end(reason, 0);
            reply.abort();
        } else {
            refuse(RefusalCode.DRAINING, reason);
        }
    }

    /** Refuses a request that no target has run. */
    final void refuse(RefusalCode code, String detail) {
        if (done) {
            return;
        }
        end(detail, code.status());
        context.counters().refused(code);
        long comeBack = new ReturnTimes(context.random()).draw(call.route());
        reply.refuse(Refusal.notRun(code, detail, comeBack));
    }

    /** Records the outcome and stops the work at the target. */
    final void end(String reason, int status) {
        Attempt current = attempt;
        finish(reason, status);
        if (current != null) {
            current.cancel();
        }
    }

    /** Records the outcome of a request that no target works on any more. */
    void finish(String reason, int status) {
        if (done) {
            return;
        }
        done = true;
        attempt = null;
        deadline.cancel();
        line.remove(this);
        List<Object> fields = new ArrayList<>(List.of(
                "request",
                call.request().id(),
                "outcome",
                reason,
                "status",
                status,
                "sends",
                sends.sends(),
                "tookMs",
                context.timers().nowMillis() - call.receivedAt()));
        fields.addAll(outcomeDetails());
        context.timeline().record(EventKind.REQUEST_ENDED, fields.toArray());
        onDone.run();
    }
}
