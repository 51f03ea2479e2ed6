package org.siskinlead.core.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.siskinlead.core.registry.TargetHealth;

/** Records the sends of a request and decides whether it may be sent again. */
final class SendHistory {
    /** Failed connections of a request after which no further target is tried. */
    private static final int MAX_CONNECT_FAILURES = 6;

    private final ForwardingContext context;
    private final AdmittedRequest admitted;
    private final Set<String> excludedInstances = new HashSet<>();
    /** Targets to which the request was sent, with the number of sends, by instance. */
    private final Map<String, Tried> triedTargets = new HashMap<>();

    private String lastInstance = "";
    private boolean mayHaveRun;
    private int sendCount;
    private int connectFailures;

    private record Tried(TargetHealth target, int sends, int refusals) {
        boolean mayHaveRun() {
            return sends > refusals;
        }
    }

    SendHistory(ForwardingContext context, AdmittedRequest admitted) {
        this.context = context;
        this.admitted = admitted;
    }

    // Queries

    /** Gets the target instances to which the request must not be sent again. */
    Set<String> excludedInstances() {
        return excludedInstances;
    }

    /** Gets the target instance to which the request was sent last, empty when it was not sent. */
    String lastInstance() {
        return lastInstance;
    }

    int sendCount() {
        return sendCount;
    }

    /** Counts the targets to which the request was sent, also those that have ended since. */
    int targetCount() {
        return triedTargets.size();
    }

    /** Counts the targets to which the request was sent and that are known to have ended. */
    long endedTargetCount() {
        return triedTargets.values().stream().filter(t -> t.target().hasEnded()).count();
    }

    /** Tells whether a target may have started to execute the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Tells whether another send is allowed. Only targets that are known to have ended do not count towards the maximum. */
    boolean allowsRetry() {
        return allowsSend()
                && targetCount() - endedTargetCount() < admitted.route().maxAttempts();
    }

    /**
     * Tells whether a stream of which the caller has a part may be resumed. Any number of targets may refuse it without
     * running it, as only those that may run it count towards the maximum, and it may return to one of these.
     */
    boolean allowsResume() {
        return allowsSend()
                && (allowsNewTarget() || triedTargets.values().stream().anyMatch(this::mayRunAgain));
    }

    /** Tells whether a stream may be resumed at a target as far as the maximum number of targets is concerned. */
    boolean allowsResumeAt(String instanceId) {
        Tried tried = triedTargets.get(instanceId);
        return (tried != null && tried.mayHaveRun()) || allowsNewTarget();
    }

    private boolean allowsNewTarget() {
        long counted = triedTargets.values().stream()
                .filter(t -> t.mayHaveRun() && !t.target().hasEnded())
                .count();
        return counted < admitted.route().maxAttempts();
    }

    private boolean mayRunAgain(Tried tried) {
        return tried.mayHaveRun()
                && tried.target().isInService()
                && !excludedInstances.contains(tried.target().entry().instanceId());
    }

    private boolean allowsSend() {
        if ((mayHaveRun && !admitted.route().isIdempotent()) || (admitted.isTrial() && sendCount > 0)) {
            return false;
        }
        return connectFailures < MAX_CONNECT_FAILURES && !context.crashWatch().isBlocked(admitted);
    }

    // Commands

    void onSent(TargetHealth target) {
        sendCount++;
        lastInstance = target.entry().instanceId();
        triedTargets.merge(
                target.entry().instanceId(),
                new Tried(target, 1, 0),
                (known, added) -> new Tried(known.target(), known.sends() + 1, known.refusals()));
    }

    /** Records that a target has refused the last send to it without running the request. */
    void onNotRun(TargetHealth target) {
        triedTargets.computeIfPresent(
                target.entry().instanceId(),
                (instanceId, known) -> new Tried(known.target(), known.sends(), known.refusals() + 1));
    }

    /** Takes back the last send to a target, since the connection failed before anything was sent. */
    void onConnectFailure(TargetHealth target) {
        connectFailures++;
        triedTargets.computeIfPresent(
                target.entry().instanceId(),
                (instanceId, known) ->
                        known.sends() == 1 ? null : new Tried(known.target(), known.sends() - 1, known.refusals()));
    }

    void onMayHaveRun() {
        mayHaveRun = true;
    }

    void exclude(String instanceId) {
        excludedInstances.add(instanceId);
    }
}
