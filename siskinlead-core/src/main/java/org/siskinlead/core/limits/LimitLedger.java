package org.siskinlead.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.siskinlead.core.invariant.Invariants;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.time.Timers;

/**
 * Tracks how an owner has allocated one team's limit. An allocation counts in full until its holder confirms the latest
 * allotment and reports that it holds fewer slots.
 */
final class LimitLedger {
    private static final double BURST_SECONDS = 1.0;

    private final String team;
    private final long id;
    private final Timers timers;
    private final Invariants invariants;
    private final Sender sender;
    private final Map<String, HolderAllocation> allocations = new TreeMap<>();
    private double tokens;
    private long refilledAt;

    /** Sends an allotment to a holder. */
    interface Sender {
        /**
         * Sends an allotment.
         * @param member identity of the holder
         * @param allotment the allotment
         * @param charges slots counted against the limit for each holder, including this allotment
         */
        void send(String member, PeerMessage.Allotment allotment, Map<String, Integer> charges);
    }

    private static final class HolderAllocation {
        private long sequence;
        private int allotted;
        /** Limit within which the slots were allotted. */
        private int limit;

        private int charge;
        private int used;
        private int wanted;
        private long tokensTotal;
    }

    LimitLedger(String team, long id, Timers timers, Invariants invariants, Sender sender) {
        this.team = team;
        this.id = id;
        this.timers = timers;
        this.invariants = invariants;
        this.sender = sender;
        this.refilledAt = timers.nowMillis();
    }

    // Queries

    /** Gets the slots counted against the limit for each holder. */
    Map<String, Integer> charges() {
        Map<String, Integer> charges = new TreeMap<>();
        allocations.forEach((member, allocation) -> charges.put(member, allocation.charge));
        return charges;
    }

    boolean knows(String member) {
        return allocations.containsKey(member);
    }

    int freeSlots(TeamLimit limit) {
        int charged = allocations.values().stream().mapToInt(a -> a.charge).sum();
        return limit.maxConcurrent() - charged;
    }

    // Commands

    /** Counts slots that a holder holds or may hold; never lowers its charge. */
    void charge(String member, int slots) {
        HolderAllocation allocation = allocationOf(member);
        allocation.allotted = Math.max(allocation.allotted, slots);
        allocation.charge = Math.max(allocation.charge, slots);
    }

    /** Removes holders whose requests have certainly ended. */
    void removeHolders(Predicate<String> ended) {
        allocations.keySet().removeIf(ended);
    }

    void onDemand(PeerMessage.LimitDemand demand, TeamLimit limit, long epoch) {
        HolderAllocation allocation = allocationOf(demand.from());
        long applied = demand.ledger() == id ? demand.sequence() : 0;
        if (applied >= allocation.sequence) {
            allocation.charge = demand.held();
            allocation.allotted = demand.held();
        } else {
            allocation.charge = Math.max(allocation.charge, demand.held());
        }
        boolean unconfirmed = applied < allocation.sequence;
        int unconfirmedSlots = unconfirmed ? Math.max(0, allocation.allotted - demand.held()) : 0;
        allocation.used = demand.used();
        allocation.wanted = Math.max(0, demand.wanted() - unconfirmedSlots);
        allocation.tokensTotal += takeTokens(limit, demand.tokensWanted());
        allotFreeSlots(limit, epoch);
        if (allocation.wanted > 0) {
            reclaimFromOthers(demand.from(), limit, epoch);
        }
        if (unconfirmed || demand.tokensWanted() > 0) {
            send(demand.from(), allocation, epoch);
        }
    }

    /**
     * Reclaims the slots of all holders while more than the limit is allocated. Holders above the limit's rest cannot
     * give up what they use, so the others must not start requests either until enough have ended.
     */
    void enforce(TeamLimit limit, long epoch) {
        if (freeSlots(limit) >= 0) {
            return;
        }
        allocations.forEach((member, allocation) -> {
            if (allocation.charge > 0) {
                reclaim(member, allocation, 0, limit, epoch);
            }
        });
    }

    // Helpers

    private HolderAllocation allocationOf(String member) {
        return allocations.computeIfAbsent(member, m -> new HolderAllocation());
    }

    /** Allots free slots to the holders that want more, those with the fewest slots first. */
    private void allotFreeSlots(TeamLimit limit, long epoch) {
        List<Map.Entry<String, HolderAllocation>> waiting = new ArrayList<>(allocations.entrySet().stream()
                .filter(e -> e.getValue().wanted > 0)
                .toList());
        waiting.sort(Comparator.comparingInt(e -> e.getValue().charge));
        for (Map.Entry<String, HolderAllocation> entry : waiting) {
            HolderAllocation allocation = entry.getValue();
            int granted = Math.min(allocation.wanted, freeSlots(limit));
            if (granted <= 0) {
                return;
            }
            allocation.wanted -= granted;
            allocation.charge += granted;
            invariants.check(freeSlots(limit) >= 0, "limit-not-overlent", team);
            allot(entry.getKey(), allocation, allocation.charge, limit, epoch);
        }
    }

    /** Reclaims slots from holders with idle slots and from those above their fair share, while none are free. */
    private void reclaimFromOthers(String requester, TeamLimit limit, long epoch) {
        if (freeSlots(limit) > 0) {
            return;
        }
        if (freeSlots(limit) < 0) {
            enforce(limit, epoch);
            return;
        }
        int active = (int)
                allocations.values().stream().filter(a -> a.used + a.wanted > 0).count();
        int fairShare = Math.max(1, limit.maxConcurrent() / Math.max(1, active));
        allocations.forEach((member, allocation) -> {
            boolean idle = allocation.charge > allocation.used && allocation.wanted == 0;
            if (!member.equals(requester) && (idle || allocation.charge > fairShare)) {
                reclaim(
                        member,
                        allocation,
                        idle ? Math.min(allocation.used, allocation.charge) : fairShare,
                        limit,
                        epoch);
            }
        });
    }

    /** Allots a holder fewer slots, or resends its last allotment when that is low enough, so that it can confirm. */
    private void reclaim(String member, HolderAllocation allocation, int slots, TeamLimit limit, long epoch) {
        if (allocation.allotted <= slots) {
            send(member, allocation, epoch);
        } else {
            allot(member, allocation, slots, limit, epoch);
        }
    }

    private void allot(String member, HolderAllocation allocation, int slots, TeamLimit limit, long epoch) {
        allocation.allotted = slots;
        allocation.limit = limit.maxConcurrent();
        allocation.sequence++;
        send(member, allocation, epoch);
    }

    private void send(String member, HolderAllocation allocation, long epoch) {
        PeerMessage.Allotment allotment = new PeerMessage.Allotment(
                epoch, team, id, allocation.sequence, allocation.allotted, allocation.tokensTotal, allocation.limit);
        sender.send(member, allotment, charges());
    }

    private long takeTokens(TeamLimit limit, int wanted) {
        long now = timers.nowMillis();
        double burst = Math.max(1, limit.requestsPerSecond() * BURST_SECONDS);
        tokens = Math.min(burst, tokens + (now - refilledAt) / 1000.0 * limit.requestsPerSecond());
        refilledAt = now;
        long taken = (long) Math.min(wanted, Math.floor(tokens));
        tokens -= taken;
        return taken;
    }
}
