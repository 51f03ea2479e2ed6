package org.siskinlead.core.ratelimit;

import java.util.Collection;
import java.util.Optional;

/**
 * A daemon's share of the limit of a target. Few daemons hold a target's whole limit in equal shares, chosen for each
 * target by {@link Rendezvous} hashing, so that all daemons agree on the holders without a
 * message, few shares move when a daemon comes or goes, and the bursts of all holders stay small beside the limit.
 * @param perSecond requests a second
 * @param burst requests that the holder may send at once, at least 1
 * @param initial requests that a new holder may send at once; the holders' first requests are spread over time
 */
record RateShare(double perSecond, double burst, double initial) {
    /** Number of holders of a limit near 0. Each may send one request at once, in addition to its rate. */
    private static final int MIN_HOLDERS = 3;
    /** Further holders for each request a second. */
    private static final double HOLDERS_PER_REQUEST_PER_SECOND = 0.75;
    /** Least rate at which all daemons together ask a target whether it still has its limit, in requests a second. */
    private static final double MIN_PER_SECOND = 0.25;

    /**
     * Computes the share of a daemon.
     * @param vm name of the daemon's VM
     * @param vms names of the VMs of all serving daemons, that of this one included
     * @param instanceId the target's instance
     * @param limit the target's limit, in requests a second
     * @return the share, empty if other daemons hold the limit
     */
    static Optional<RateShare> of(String vm, Collection<String> vms, String instanceId, double limit) {
        double shared = Math.max(MIN_PER_SECOND, limit);
        int holders = (int) Math.min(vms.size(), MIN_HOLDERS + Math.floor(HOLDERS_PER_REQUEST_PER_SECOND * shared));
        int rank = Rendezvous.rank(vm, vms, instanceId);
        if (rank >= holders) {
            return Optional.empty();
        }
        double perSecond = shared / holders;
        double burst = Math.max(1, perSecond);
        return Optional.of(new RateShare(perSecond, burst, burst * rank / holders));
    }
}
