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
    private final Map<String, Loan> loans = new TreeMap<>();
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

    private static final class Loan {
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
        loans.forEach((member, loan) -> charges.put(member, loan.charge));
        return charges;
    }

    boolean knows(String member) {
        return loans.containsKey(member);
    }

    int free(TeamLimit limit) {
        int charged = loans.values().stream().mapToInt(l -> l.charge).sum();
        return limit.maxConcurrent() - charged;
    }

    // Commands

    /** Counts slots that a holder is known or believed to hold. */
    void charge(String member, int slots) {
        Loan loan = loan(member);
        loan.allotted = Math.max(loan.allotted, slots);
        loan.charge = Math.max(loan.charge, slots);
    }

    /** Forgets holders whose work has certainly ended. */
    void drop(Predicate<String> ended) {
        loans.keySet().removeIf(ended);
    }

    void onDemand(PeerMessage.LimitDemand demand, TeamLimit limit, long epoch) {
        Loan loan = loan(demand.from());
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
        serveWaiting(limit, epoch);
        if (loan.wanted > 0) {
            recallForOthers(demand.from(), limit, epoch);
        }
        if (unconfirmed || demand.tokensWanted() > 0) {
            send(demand.from(), loan, epoch);
        }
    }

    /** Brings all holders down to their fair share after the limit was lowered. */
    void enforce(TeamLimit limit, long epoch) {
        if (free(limit) >= 0) {
            return;
        }
        int holders = (int) loans.values().stream().filter(l -> l.charge > 0).count();
        int fair = limit.maxConcurrent() / Math.max(1, holders);
        loans.forEach((member, loan) -> {
            if (loan.charge > fair) {
                recall(member, loan, fair, epoch);
            }
        });
    }

    // Helpers

    private Loan loan(String member) {
        return loans.computeIfAbsent(member, m -> new Loan());
    }

    /** Gives free slots to the holders that want them, those with the fewest first. */
    private void serveWaiting(TeamLimit limit, long epoch) {
        List<Map.Entry<String, Loan>> waiting = new ArrayList<>(
                loans.entrySet().stream().filter(e -> e.getValue().wanted > 0).toList());
        waiting.sort(Comparator.comparingInt(e -> e.getValue().charge));
        for (Map.Entry<String, Loan> entry : waiting) {
            Loan loan = entry.getValue();
            int given = Math.min(loan.wanted, free(limit));
            if (given <= 0) {
                return;
            }
            loan.wanted -= given;
            loan.charge += given;
            invariants.check(free(limit) >= 0, "limit-not-overlent", team);
            allot(entry.getKey(), loan, loan.charge, epoch);
        }
    }

    /** Asks holders with idle slots, and those above their fair share, to keep within less. */
    private void recallForOthers(String wanting, TeamLimit limit, long epoch) {
        if (free(limit) > 0) {
            return;
        }
        int active =
                (int) loans.values().stream().filter(l -> l.used + l.wanted > 0).count();
        int fair = Math.max(1, limit.maxConcurrent() / Math.max(1, active));
        loans.forEach((member, loan) -> {
            boolean idle = loan.charge > loan.used && loan.wanted == 0;
            if (!member.equals(wanting) && (idle || loan.charge > fair)) {
                recall(member, loan, idle ? Math.min(loan.used, loan.charge) : fair, epoch);
            }
        });
    }

    /** Asks a holder to keep within fewer slots; one that was already asked is only reminded, so that it can confirm. */
    private void recall(String member, Loan loan, int slots, long epoch) {
        if (loan.allotted <= slots) {
            send(member, loan, epoch);
        } else {
            allot(member, loan, slots, epoch);
        }
    }

    private void allot(String member, Loan loan, int slots, long epoch) {
        loan.allotted = slots;
        loan.sequence++;
        send(member, loan, epoch);
    }

    private void send(String member, Loan loan, long epoch) {
        PeerMessage.Allotment allotment =
                new PeerMessage.Allotment(epoch, team, id, loan.sequence, loan.allotted, loan.tokensTotal);
        sender.send(member, allotment, charges());
    }

    private long takeTokens(TeamLimit limit, int wanted) {
        long now = timers.nowMillis();
        double burst = Math.max(1, limit.perSecond() * BURST_SECONDS);
        tokens = Math.min(burst, tokens + (now - refilledAt) / 1000.0 * limit.perSecond());
        refilledAt = now;
        long taken = (long) Math.min(wanted, Math.floor(tokens));
        tokens -= taken;
        return taken;
    }
}
