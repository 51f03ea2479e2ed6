package org.siskinlead.core.forwarding;

import java.util.HashSet;
import java.util.Set;
import org.siskinlead.core.registry.TargetHealth;

/** What is known of the sends of a request so far, and whether it may be sent again. */
final class SendHistory {
    /** Failed connections in all, after which no further target is tried. */
    private static final int MAX_CONNECT_FAILURES = 6;

    private final ForwardingContext context;
    private final AdmittedRequest admitted;
    private final Set<String> excludedInstances = new HashSet<>();
    private final Set<TargetHealth> triedTargets = new HashSet<>();
    private boolean mayHaveRun;
    private int sendCount;
    private int connectFailures;

    SendHistory(ForwardingContext context, AdmittedRequest admitted) {
        this.context = context;
        this.admitted = admitted;
    }

    // Queries

    /** Lives that the request must not go to again. */
    Set<String> excludedInstances() {
        return excludedInstances;
    }

    int sendCount() {
        return sendCount;
    }

    /** Tells whether a target may have begun to work on the request. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** A target whose life is over does not count among those that the request was sent to. */
    boolean allowsRetry() {
        if (mayHaveRun && !admitted.route().isIdempotent()) {
            return false;
        }
        long counted = triedTargets.stream().filter(t -> !t.hasEnded()).count();
        return counted < admitted.route().maxAttempts()
                && connectFailures < MAX_CONNECT_FAILURES
                && !context.suspects().isBlocked(admitted.fingerprint());
    }

    // Commands

    void onSent(TargetHealth target) {
        sendCount++;
        triedTargets.add(target);
    }

    /** Takes back a send for which no connection came about. */
    void onConnectFailure(TargetHealth target) {
        connectFailures++;
        triedTargets.remove(target);
    }

    void onMayHaveRun() {
        mayHaveRun = true;
    }

    void exclude(String instanceId) {
        excludedInstances.add(instanceId);
    }
}
