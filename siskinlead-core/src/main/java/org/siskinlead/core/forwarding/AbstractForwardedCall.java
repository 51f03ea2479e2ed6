package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.admission.AdmissionCounters.Step;
import org.siskinlead.core.crash.Suspect;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.timeline.EventKind;

/** Base of forwarded calls. Handles what buffered and streamed responses share: retries, refusals and the deadline. */
abstract class AbstractForwardedCall implements ForwardedCall, Attempt.Owner, RequestQueue.Waiter {
    /** Time for which a target that accepted no connection is avoided. */
    static final long AVOID_UNREACHABLE_MS = 1_000;

    /** Time for which a target that refused a stream without running it is avoided. */
    private static final long AVOID_AFTER_REFUSAL_MS = 300;
    /** Time for which a target that another target reported as faulty is avoided. */
    private static final long AVOID_REPORTED_MS = 700;

    /** Priority of requests whose callers have a part of the answer; those of teams and routes follow. */
    private static final int BEGUN_PRIORITY = 0;

    /** Status of a target other than the expected one, which has not run the request (RFC 9110, section 15.5.20). */
    static final int MISDIRECTED_REQUEST = 421;

    final ForwardingContext context;
    final TargetChooser chooser;
    final RequestQueue queue;
    final AdmittedRequest admitted;
    final Reply reply;
    final SendHistory sendHistory;
    final RetryPayment payment;
    private final Runnable onDone;
    private final Timer deadline;

    @Nullable
    Attempt attempt;

    private boolean done;
    /** Why the last attempt failed, empty before one has. */
    String lastFailure = "";

    AbstractForwardedCall(
            ForwardingContext context,
            TargetChooser chooser,
            RequestQueue queue,
            AdmittedRequest admitted,
            Reply reply,
            Runnable onDone) {
        this.context = context;
        this.chooser = chooser;
        this.queue = queue;
        this.admitted = admitted;
        this.reply = reply;
        this.onDone = onDone;
        this.sendHistory = new SendHistory(context, admitted);
        this.payment =
                new RetryPayment(context.retryBudget(), admitted.service().name());
        this.deadline =
                context.timers().after(admitted.deadlineAt() - context.timers().nowMillis(), this::onDeadline);
    }

    // Queries

    final boolean isDone() {
        return done;
    }

    @Override
    public final boolean usesInstance(String instanceId) {
        Attempt current = attempt;
        return current != null && current.usesInstance(instanceId);
    }

    @Override
    public final Optional<Suspect> suspectOn(String instanceId) {
        Attempt current = attempt;
        return current == null || !current.usesInstance(instanceId)
                ? Optional.empty()
                : Optional.ofNullable(current.suspect());
    }

    @Override
    public final AdmittedRequest admitted() {
        return admitted;
    }

    // Implemented by the subclasses

    /** Tells whether the caller has a part of the answer, which is lost unless the rest of it follows. */
    abstract boolean isBegun();

    /** Sends the request again, after the checks of the retry limits have passed. */
    abstract void retry(String reason);

    /** Gets the purpose of a retry, which decides how much of the retry budget it may use. */
    abstract RetryBudgetShare.Purpose retryPurpose();

    /** Creates the refusal of a request that a target may have executed but not answered. */
    abstract Refusal failureRefusal(String reason);

    /** Tells whether the caller has received a part of the answer. */
    abstract boolean hasDelivered();

    /** Runs at the deadline of the request. */
    abstract void onDeadline();

    /** Gets further fields of the recorded outcome, as alternating names and values. */
    abstract List<Object> outcomeDetails();

    // Shared by the subclasses

    @Override
    public final void begin() {
        sendOrWait();
    }

    /** Sends the request now, or queues it for as long as a send is of use to its caller, or ends it. */
    final void sendOrWait() {
        if (queue.lengthAhead(this) == 0 && isSendOfUse() && trySend()) {
            return;
        }
        long waitMillis = latestSendAt() - context.timers().nowMillis();
        if (refuseIfUnusableFor(Math.max(0, waitMillis)) || refuseIfWithoutPath()) {
            return;
        }
        if (lacksBudgetFor(waitMillis, queue.heldBackAhead(this))) {
            denyRetry();
        } else if (!isSendOfUse()) {
            onExpired();
        } else if (!queue.expectsSendInTime(this)) {
            endAsQueueFull();
        } else {
            recordQueued(waitMillis);
            queue.add(this);
        }
    }

    /**
     * Gets the place among the requests that wait: first those whose caller has a part of the answer, which is lost if the
     * rest does not follow, then by the priority of the team or the route. How often a request was sent counts nothing.
     */
    @Override
    public final int priority() {
        return isBegun() ? BEGUN_PRIORITY : BEGUN_PRIORITY + 1 + admitted.priority();
    }

    /** Gets the team whose share is used; callers that have a part of the answer go first whatever their team has used. */
    @Override
    public final String team() {
        return isBegun() ? "" : admitted.team();
    }

    @Override
    public final double tokens() {
        return admitted.expectedTokens();
    }

    /** Tells whether the send window of the service lets this request be sent now. */
    final boolean isAllowedByWindow() {
        return context.admission().allows(admitted.service(), priority() - 1 - BEGUN_PRIORITY);
    }

    private void endAsQueueFull() {
        if (sendHistory.mayHaveRun()) {
            giveUp("too many requests are queued for target capacity");
        } else {
            refuse(RefusalCode.QUEUE_FULL, "too many requests are queued for target capacity");
        }
    }

    /** Tells whether an answer to a send can still reach the caller in time; what has just arrived is tried at least once. */
    private boolean isSendOfUse() {
        return context.timers().nowMillis() <= latestSendAt()
                || (sendHistory.sendCount() == 0 && context.timers().nowMillis() == admitted.receivedAt());
    }

    /** Refuses a request for which the targets in service have no path at all; a begun one waits for them to change. */
    private boolean refuseIfWithoutPath() {
        if (isBegun() || sendHistory.mayHaveRun() || chooser.hasPathInService(admitted)) {
            return false;
        }
        refuse(RefusalCode.OVERLOADED, "no target in service can run this request", RetryAfter.UNKNOWN_ROOM_MS);
        return true;
    }

    /** Runs when a send is no longer of use, or the queue is too long for one in time. */
    @Override
    public final void onExpired() {
        giveUp(
                lastFailure.isEmpty()
                        ? "no target had free capacity in time"
                        : "no other target had free capacity in time after " + lastFailure);
    }

    /** Records what an answer says of its target itself. */
    final void recordSignals(Attempt from, TargetResponse response) {
        if (response.load() >= 0) {
            from.target().onLoad(response.load());
        }
        // Another target than the expected one speaks only for itself.
        if (response.matchesRequest() && response.status() != MISDIRECTED_REQUEST) {
            if (response.leaving()) {
                context.registry().onLeaving(from.target());
            }
        }
        if (response.isAuthentic() && response.status() != MISDIRECTED_REQUEST) {
            context.rateLimits()
                    .onAnswer(from.target().entry().instanceId(), from.sentAt(), response.requestsPerSecond());
        }
        if (response.retryAfterMillis() > 0 && response.status() != MISDIRECTED_REQUEST) {
            context.registry().onBackoff(from.target(), response.retryAfterMillis());
            context.registry()
                    .findByAddress(response.faultAddress())
                    .ifPresent(faulty -> context.registry().onBackoff(faulty, response.retryAfterMillis()));
        }
    }

    /** Avoids the target that is to blame for a refusal, which may be a later one of the path; returns it. */
    final TargetHealth avoidFaulty(Attempt from, TargetResponse response) {
        TargetHealth faulty =
                context.registry().findByAddress(response.faultAddress()).orElse(from.target());
        boolean reportsOther = faulty != from.target();
        faulty.avoid(reportsOther ? AVOID_REPORTED_MS : AVOID_AFTER_REFUSAL_MS);
        if (reportsOther) {
            context.prober().check(faulty, admitted.request().id());
        }
        return faulty;
    }

    private void recordQueued(long waitMillis) {
        context.counters().increment(Count.QUEUED);
        context.admission().counters().increment(Step.WAITED, admitted.priority(), admitted.team());
        context.timeline()
                .record(
                        EventKind.REQUEST_QUEUED,
                        "request",
                        admitted.request().id(),
                        "ahead",
                        queue.length(),
                        "atMostMs",
                        waitMillis,
                        "limitedLevel",
                        context.admission().limitedLevel(admitted.service()));
    }

    /** Refuses the request if no target can be used within a time; returns whether it did. */
    final boolean refuseIfUnusableFor(long waitMillis) {
        long unusableMillis = chooser.millisToUse(admitted, queue.lengthAhead(this));
        if (unusableMillis <= waitMillis) {
            return false;
        }
        boolean heldByOthers = unusableMillis >= TargetRateLimits.NEVER;
        String reason = heldByOthers
                ? "other daemons hold the rate limits of all targets"
                : "no target accepts this request for " + unusableMillis + " ms";
        if (sendHistory.mayHaveRun()) {
            giveUp(reason);
        } else {
            refuse(RefusalCode.OVERLOADED, reason, heldByOthers ? RetryAfter.UNKNOWN_ROOM_MS : unusableMillis);
        }
        return true;
    }

    @Override
    public final void endIfBlocked() {
        if (!done && context.crashWatch().isBlocked(admitted) && mayEndAsSuspect()) {
            endAsSuspect();
        }
    }

    /** A request without shared parts that runs already goes on, since its sound end clears the same request elsewhere. */
    private boolean mayEndAsSuspect() {
        Attempt current = attempt;
        return current == null || (!admitted.parts().isEmpty() && current.suspect() != null);
    }

    @Override
    public final void endIfAccusedBesides(String instanceId) {
        if (!done && !hasDelivered() && context.crashWatch().isAccusedBesides(admitted, instanceId)) {
            endAsSuspect();
        }
    }

    private void endAsSuspect() {
        Attempt current = attempt;
        if (current != null) {
            current.cancel();
            attempt = null;
            sendHistory.onMayHaveRun();
        }
        if (sendHistory.sendCount() == 0) {
            Refusal refusal = context.crashWatch().refusal(admitted, admitted.remainingMillis(context.timers()));
            end(Ending.NOT_RUN, "blocked", refusal.code().status());
            context.counters().incrementRefusals(refusal.code());
            reply.refuse(refusal);
        } else {
            giveUp(Ending.SUSPECTED, context.crashWatch().blockedDetail(admitted));
        }
    }

    /** Sends the request again after a failure if its attempts allow it and the retry budget does in time. */
    void retryOrGiveUp(String reason, RetryPayment.Cost cost) {
        lastFailure = reason;
        attempt = null;
        payment.onDue(cost);
        if (!sendHistory.allowsRetry()) {
            giveUp(reason);
        } else if (lacksBudgetInTime(queue.heldBackAhead(this))) {
            denyRetry();
        } else {
            retry(reason);
        }
    }

    @Override
    public final boolean isHeldBack() {
        return payment.isShort(retryPurpose());
    }

    /** Tells whether the next retry after a number of others is not known to come while a send is of use. */
    final boolean lacksBudgetInTime(int ahead) {
        return lacksBudgetFor(latestSendAt() - context.timers().nowMillis(), ahead);
    }

    private boolean lacksBudgetFor(long waitMillis, int ahead) {
        return isHeldBack() && payment.millisToPay(retryPurpose(), ahead) > waitMillis;
    }

    /** Ends a request that waits for the retry budget if that is not known to come in time; returns whether it did. */
    final boolean endIfBudgetIsLate() {
        if (!lacksBudgetInTime(0)) {
            return false;
        }
        denyRetry();
        return true;
    }

    private void denyRetry() {
        context.counters().increment(Count.RETRIES_DENIED);
        giveUp(lastFailure + "; retry budget exhausted");
    }

    final void giveUp(String reason) {
        giveUp(Ending.TARGETS_FAILED, reason);
    }

    void giveUp(Ending ending, String reason) {
        if (done) {
            return;
        }
        if (!sendHistory.mayHaveRun()) {
            refuse(RefusalCode.OVERLOADED, reason);
            return;
        }
        Refusal refusal = failureRefusal(reason);
        finish(ending, reason, refusal.code().status());
        context.counters().incrementRefusals(refusal.code());
        reply.refuse(refusal);
    }

    /**
     * Ends a request that must not run twice and whose target answered, without saying that it did not run it, with a
     * status by which its caller would take it for not run; returns whether it did.
     */
    final boolean endIfWronglyNotRun(Attempt from, TargetResponse response) {
        if (admitted.route().isIdempotent() || !response.meansNotRun()) {
            return false;
        }
        sendHistory.onMayHaveRun();
        giveUp(from.target().entry().id() + " answered with status " + response.status()
                + " and may have run the request");
        return true;
    }

    final void endAtDeadline() {
        end(Ending.TIMED_OUT, "deadline passed", RefusalCode.DEADLINE_EXCEEDED.status());
        context.counters().incrementRefusals(RefusalCode.DEADLINE_EXCEEDED);
        reply.refuse(Refusal.failed(RefusalCode.DEADLINE_EXCEEDED, "deadline passed", 0));
    }

    @Override
    public final void onCallerDisconnected() {
        if (!done) {
            context.counters().increment(Count.CALLER_LEFT);
            end(Ending.CALLER_LEFT, "caller left", 0);
        }
    }

    @Override
    public final void onConnectionClosed(String reason) {
        end(Ending.CONNECTION_CLOSED, "connection closed by this daemon: " + reason, 0);
    }

    @Override
    public void terminate(String reason) {
        if (sendHistory.mayHaveRun() || attempt != null) {
            Refusal refusal = failureRefusal(reason);
            end(Ending.DAEMON_STOPPED, reason, refusal.code().status());
            context.counters().incrementRefusals(refusal.code());
            reply.refuse(refusal);
        } else {
            refuseAsDraining(reason);
        }
    }

    /** Refuses a request that no target has executed; its caller may return once all that wait now will have been sent. */
    final void refuse(RefusalCode code, String detail) {
        refuse(code, detail, queue.expectedMillisUntilSent(this));
    }

    /** Refuses a request that no target has run if it cannot end before this daemon stops; returns whether it did. */
    final boolean refuseIfOutlastingDrain() {
        if (sendHistory.mayHaveRun() || context.drain().endsInTime(admitted)) {
            return false;
        }
        refuseAsDraining("this daemon is draining");
        return true;
    }

    final void refuseAsDraining(String detail) {
        refuse(RefusalCode.DRAINING, detail, context.drain().millisToOther());
    }

    private void refuse(RefusalCode code, String detail, long roomInMillis) {
        if (done) {
            return;
        }
        long retryAfterMillis =
                new RetryAfter(context.random()).drawMillis(roomInMillis, admitted.remainingMillis(context.timers()));
        end(Ending.NOT_RUN, detail, code.status());
        context.counters().incrementRefusals(code);
        context.admission().counters().increment(Step.REFUSED, admitted.priority(), admitted.team());
        reply.refuse(Refusal.notRun(code, detail, retryAfterMillis));
    }

    /** Records the outcome and cancels the current attempt. */
    final void end(Ending ending, String reason, int status) {
        Attempt current = attempt;
        finish(ending, reason, status);
        if (current != null) {
            current.cancel();
        }
    }

    /** Records the outcome of a request without an active attempt. */
    void finish(Ending ending, String reason, int status) {
        if (done) {
            return;
        }
        done = true;
        attempt = null;
        deadline.cancel();
        queue.remove(this);
        List<Object> fields = new ArrayList<>(List.of(
                "request",
                admitted.request().id(),
                "outcome",
                reason,
                "status",
                status,
                "sends",
                sendHistory.sendCount(),
                "targets",
                sendHistory.targetCount(),
                "endedTargets",
                sendHistory.endedTargetCount(),
                "tookMs",
                context.timers().nowMillis() - admitted.receivedAt()));
        fields.addAll(outcomeDetails());
        context.timeline().record(EventKind.REQUEST_ENDED, fields.toArray());
        if (ending.isCut() && sendHistory.sendCount() > 0) {
            CutRecorder.record(context, admitted, sendHistory, ending, reason, status, outcomeDetails());
        }
        onDone.run();
    }
}
