package org.siskinlead.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks a daemon's quorum lease. The lease lasts while a majority of the witnesses has vouched, that is, confirmed
 * that they know no later head, each in answer to a heartbeat sent less than {@link #DURATION_MS} ago. A vouch for an
 * earlier head with the same witnesses still counts: no later head can have been accepted before the vouch was given.
 */
final class QuorumLease {
    /** Time for which a vouch counts, from the sending of its heartbeat. */
    static final long DURATION_MS = 2_000;

    private final String self;
    private final Map<String, Long> vouchedUntil = new HashMap<>();
    private final Map<String, Long> vouchedVersion = new HashMap<>();
    private final Set<String> provenDead = new HashSet<>();

    QuorumLease(String self) {
        this.self = self;
    }

    /** Discards all vouches, after a change of the witnesses. */
    void reset() {
        vouchedUntil.clear();
    }

    void recordVouch(String witness, long version, long heartbeatSentAt) {
        vouchedVersion.merge(witness, version, Math::max);
        vouchedUntil.merge(witness, heartbeatSentAt + DURATION_MS, Math::max);
    }

    void markDead(String id) {
        provenDead.add(id);
    }

    /** Gets the monotonic time in milliseconds at which the lease expires unless renewed; a past time without one. */
    long validUntil(Head head) {
        long until = majorityVouchedUntil(head.witnesses(), false);
        for (List<Member> earlier : head.previousWitnesses()) {
            until = Math.min(until, majorityVouchedUntil(earlier, true));
        }
        return until;
    }

    /** Tells whether a majority of the witnesses has vouched for this version of the head or a later one. */
    boolean isConfirmed(Head head) {
        long vouched = head.witnesses().stream()
                .filter(w -> w.id().equals(self) || vouchedVersion.getOrDefault(w.id(), 0L) >= head.version())
                .count();
        return 2 * vouched > head.witnesses().size();
    }

    /**
     * Gets when the vouches of a majority end. In earlier sets, members proven dead count as vouching, as they can no
     * longer vouch for an earlier head.
     */
    private long majorityVouchedUntil(List<Member> witnesses, boolean countDead) {
        if (witnesses.isEmpty()) {
            return Long.MIN_VALUE;
        }
        long[] ends = witnesses.stream()
                .mapToLong(w -> witnessVouchedUntil(w.id(), countDead))
                .sorted()
                .toArray();
        int majority = witnesses.size() / 2 + 1;
        return ends[ends.length - majority];
    }

    private long witnessVouchedUntil(String witness, boolean countDead) {
        if (witness.equals(self) || (countDead && provenDead.contains(witness))) {
            return Long.MAX_VALUE;
        }
        return vouchedUntil.getOrDefault(witness, Long.MIN_VALUE);
    }
}
