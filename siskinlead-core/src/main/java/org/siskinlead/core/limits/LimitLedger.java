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
 * What an owner has lent of one team's limit. A loan counts in full until its holder confirms the latest allotment and
 * says that it keeps within less.
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
         * @param charges what each holder counts for, this allotment included
         */
        void send(String member, PeerMessage.Allotment allotment, Map<String, Integer> charges);
    }

    private static final class HolderAllocation {
        private long sequence;
        private int allotted;
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

    /** Gets what each holder counts for. */
    Map<String, Integer> charges() {
        Map<String, Integer> charges = new TreeMap<>();
        allocations.forEach((member, loan) -> charges.put(member, loan.charge));
        return charges;
    }

    boolean knows(String member) {
        return allocations.containsKey(member);
    }

    int freeSlots(TeamLimit limit) {
        int charged = allocations.values().stream().mapToInt(l -> l.charge).sum();
        return limit.maxConcurrent() - charged;
    }

    // Commands

    /** Counts slots that a holder is known or believed to hold. */
    void charge(String member, int slots) {
        HolderAllocation loan = allocationOf(member);
        loan.allotted = Math.max(loan.allotted, slots);
        loan.charge = Math.max(loan.charge, slots);
    }

    /** Forgets holders whose work has certainly ended. */
    void removeHolders(Predicate<String> ended) {
        allocations.keySet().removeIf(ended);
    }

    void onDemand(PeerMessage.LimitDemand demand, TeamLimit limit, long epoch) {
        HolderAllocation loan = allocationOf(demand.from());
        long applied = demand.ledger() == id ? demand.sequence() : 0;
        if (applied >= loan.sequence) {
            loan.charge = demand.held();
            loan.allotted = demand.held();
        } else {
            loan.charge = Math.max(loan.charge, demand.held());
        }
        boolean unconfirmed = applied < loan.sequence;
        int onTheWay = unconfirmed ? Math.max(0, loan.allotted - demand.held()) : 0;
        loan.used = demand.used();
        loan.wanted = Math.max(0, demand.wanted() - onTheWay);
        loan.tokensTotal += takeTokens(limit, demand.tokensWanted());
        allotFreeSlots(limit, epoch);
        if (loan.wanted > 0) {
            reclaimFromOthers(demand.from(), limit, epoch);
        }
        if (unconfirmed || demand.tokensWanted() > 0) {
            send(demand.from(), loan, epoch);
        }
    }

    /** Brings all holders down to their fair share after the limit was lowered. */
    void enforce(TeamLimit limit, long epoch) {
        if (freeSlots(limit) >= 0) {
            return;
        }
        int holders =
                (int) allocations.values().stream().filter(l -> l.charge > 0).count();
        int fair = limit.maxConcurrent() / Math.max(1, holders);
        allocations.forEach((member, loan) -> {
            if (loan.charge > fair) {
                reclaim(member, loan, fair, epoch);
            }
        });
    }

    // Helpers

    private HolderAllocation allocationOf(String member) {
        return allocations.computeIfAbsent(member, m -> new HolderAllocation());
    }

    /** Gives free slots to the holders that want them, those with the fewest first. */
    private void allotFreeSlots(TeamLimit limit, long epoch) {
        List<Map.Entry<String, HolderAllocation>> waiting = new ArrayList<>(allocations.entrySet().stream()
                .filter(e -> e.getValue().wanted > 0)
                .toList());
        waiting.sort(Comparator.comparingInt(e -> e.getValue().charge));
        for (Map.Entry<String, HolderAllocation> entry : waiting) {
            HolderAllocation loan = entry.getValue();
            int given = Math.min(loan.wanted, freeSlots(limit));
            if (given <= 0) {
                return;
            }
            loan.wanted -= given;
            loan.charge += given;
            invariants.hold(freeSlots(limit) >= 0, "limit-not-overlent", team);
            allot(entry.getKey(), loan, loan.charge, epoch);
        }
    }

    /** Asks holders with idle slots, and those above their fair share, to keep within less. */
    private void reclaimFromOthers(String wanting, TeamLimit limit, long epoch) {
        if (freeSlots(limit) > 0) {
            return;
        }
        int active = (int)
                allocations.values().stream().filter(l -> l.used + l.wanted > 0).count();
        int fair = Math.max(1, limit.maxConcurrent() / Math.max(1, active));
        allocations.forEach((member, loan) -> {
            boolean idle = loan.charge > loan.used && loan.wanted == 0;
            if (!member.equals(wanting) && (idle || loan.charge > fair)) {
                reclaim(member, loan, idle ? Math.min(loan.used, loan.charge) : fair, epoch);
            }
        });
    }

    /** Asks a holder to keep within fewer slots; one that was already asked is only reminded, so that it can confirm. */
    private void reclaim(String member, HolderAllocation loan, int slots, long epoch) {
        if (loan.allotted <= slots) {
            send(member, loan, epoch);
        } else {
            allot(member, loan, slots, epoch);
        }
    }

    private void allot(String member, HolderAllocation loan, int slots, long epoch) {
        loan.allotted = slots;
        loan.sequence++;
        send(member, loan, epoch);
    }

    private void send(String member, HolderAllocation loan, long epoch) {
        PeerMessage.Allotment allotment =
                new PeerMessage.Allotment(epoch, team, id, loan.sequence, loan.allotted, loan.tokensTotal);
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
