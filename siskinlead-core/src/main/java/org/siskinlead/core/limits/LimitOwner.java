package org.siskinlead.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.siskinlead.core.invariant.Invariants;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.membership.Ownership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Lends the limits that this daemon owns to the daemons that want them. Every allotment travels through the owner's
 * deputy, which would own the limit next: so the deputy knows at every moment what may have been lent and goes on at
 * once when the owner is removed. Any other new owner lends nothing before every member has told what it holds and the
 * work of removed members has certainly ended.
 */
public final class LimitOwner {
    private static final long TICK_INTERVAL_MS = 200;

    private final Membership membership;
    private final Peers peers;
    private final Timers timers;
    private final Timeline timeline;
    private final Invariants invariants;
    private final Function<String, TeamLimit> limits;
    private final Map<String, LimitLedger> ledgers = new HashMap<>();
    private final Map<String, Map<String, Integer>> holdings = new HashMap<>();
    private final LedgerReplicas replicas = new LedgerReplicas();
    private Head head = Head.EMPTY;
    private boolean copiesSent;

    private LimitOwner(
            Membership membership,
            Peers peers,
            Timers timers,
            Timeline timeline,
            Invariants invariants,
            Function<String, TeamLimit> limits) {
        this.membership = membership;
        this.peers = peers;
        this.timers = timers;
        this.timeline = timeline;
        this.invariants = invariants;
        this.limits = limits;
    }

    /**
     * Creates an owner that follows the membership.
     * @param membership source of epochs
     * @param peers way to the holders
     * @param timers time
     * @param timeline where events go
     * @param invariants checks
     * @param limits limit in force of each team
     * @return the owner
     */
    public static LimitOwner of(
            Membership membership,
            Peers peers,
            Timers timers,
            Timeline timeline,
            Invariants invariants,
            Function<String, TeamLimit> limits) {
        LimitOwner owner = new LimitOwner(membership, peers, timers, timeline, invariants, limits);
        membership.onHead(owner::onHead);
        timers.every(TICK_INTERVAL_MS, owner::tick);
        return owner;
    }

    // Commands

    /**
     * Takes what a member holds at the start of an epoch.
     * @param message the report
     */
    public void onHoldings(PeerMessage.Holdings message) {
        if (message.epoch() != head.epoch()) {
            return;
        }
        holdings.put(message.from(), message.held());
        message.held().forEach((team, slots) -> {
            LimitLedger ledger = ledgers.get(team);
            if (ledger != null && !ledger.knows(message.from())) {
                ledger.charge(message.from(), slots);
            }
        });
        if (knowsAllHoldings()) {
            openLedgersOfReportedTeams();
            sendCopies();
        }
    }

    /**
     * Takes a member's demand and answers with an allotment.
     * @param demand the demand
     */
    public void onDemand(PeerMessage.LimitDemand demand) {
        if (demand.epoch() != head.epoch() || !membership.isActive() || !owns(demand.team())) {
            return;
        }
        LimitLedger ledger = ledgers.get(demand.team());
        if (ledger == null && mayOpenLedger(demand.team())) {
            ledger = openLedger(demand.team());
        }
        if (ledger != null) {
            ledger.removeHolders(this::hasEnded);
            ledger.onDemand(demand, limits.apply(demand.team()), head.epoch());
        }
    }

    /**
     * Notes, as a deputy, what an owner lends, and passes it on.
     * @param relay the allotment on its way
     */
    public void onRelay(PeerMessage.AllotmentRelay relay) {
        if (relay.allotment().epoch() == head.epoch() && replicas.onRelay(relay)) {
            forward(relay.holder(), relay.allotment());
        }
    }

    /**
     * Takes, as a deputy, all that an owner has lent.
     * @param copies the copies
     */
    public void onCopies(PeerMessage.LedgerCopies copies) {
        if (copies.epoch() == head.epoch()) {
            replicas.onCopies(copies);
        }
    }

    /**
     * Answers a deputy that lacks copies.
     * @param request the request
     */
    public void onHoldingsRequest(PeerMessage.HoldingsRequest request) {
        if (request.epoch() == head.epoch() && copiesSent) {
            head.member(request.from()).ifPresent(this::sendCopies);
        }
    }

    // Helpers

    private void onHead(Head next) {
        if (next.epoch() == head.epoch()) {
            return;
        }
        boolean consecutive = next.epoch() == head.epoch() + 1;
        Head previous = head;
        head = next;
        holdings.clear();
        copiesSent = false;
        ledgers.keySet().removeIf(team -> !consecutive || !owns(team));
        Map<String, Map<String, Integer>> inherited = replicas.startEpoch(previous, self(), consecutive);
        inherited.forEach((team, charges) -> {
            if (owns(team) && !ledgers.containsKey(team)) {
                LimitLedger ledger = newLedger(team);
                charges.forEach(ledger::charge);
            }
        });
    }

    private void tick() {
        if (!membership.isActive()) {
            return;
        }
        ledgers.forEach((team, ledger) -> {
            ledger.removeHolders(this::hasEnded);
            ledger.enforce(limits.apply(team), head.epoch());
        });
        requestMissingReports();
    }

    private void requestMissingReports() {
        for (Member member : head.members()) {
            if (!holdings.containsKey(member.id()) || !replicas.hasCopiesFrom(member.id())) {
                peers.send(member.peerAddress(), new PeerMessage.HoldingsRequest(self(), head.epoch()));
            }
        }
    }

    private boolean knowsAllHoldings() {
        return head.members().stream().allMatch(m -> holdings.containsKey(m.id()));
    }

    private boolean mayOpenLedger(String team) {
        boolean workOfRemovedEnded = head.removed().stream().noneMatch(membership::mayHaveRunningWork);
        return knowsAllHoldings() && (workOfRemovedEnded || replicas.hadCompleteReplicaOf(team));
    }

    private LimitLedger openLedger(String team) {
        LimitLedger ledger = newLedger(team);
        holdings.forEach((member, held) -> {
            int slots = held.getOrDefault(team, 0);
            if (slots > 0) {
                ledger.charge(member, slots);
            }
        });
        return ledger;
    }

    private LimitLedger newLedger(String team) {
        LimitLedger ledger = new LimitLedger(team, head.epoch(), timers, invariants, new LimitLedger.Sender() {
            private long number;

            @Override
            public void send(String member, PeerMessage.Allotment allotment, Map<String, Integer> charges) {
                sendAllotment(member, allotment, charges, number++);
            }
        });
        ledgers.put(team, ledger);
        return ledger;
    }

    /** Opens a ledger for every team of which slots are held, so that copies are complete. */
    private void openLedgersOfReportedTeams() {
        Set<String> teams = new TreeSet<>();
        holdings.values().forEach(held -> teams.addAll(held.keySet()));
        for (String team : teams) {
            if (owns(team) && !ledgers.containsKey(team) && mayOpenLedger(team)) {
                openLedger(team);
            }
        }
    }

    /** Gives each member the ledgers of which it is the deputy, once per epoch. */
    private void sendCopies() {
        if (!copiesSent) {
            copiesSent = true;
            head.members().forEach(this::sendCopies);
        }
    }

    private void sendCopies(Member member) {
        List<PeerMessage.LedgerCopy> copies = new ArrayList<>();
        ledgers.forEach((team, ledger) -> {
            if (backupOf(team).filter(d -> d.id().equals(member.id())).isPresent()) {
                copies.add(new PeerMessage.LedgerCopy(team, ledger.charges()));
            }
        });
        peers.send(member.peerAddress(), new PeerMessage.LedgerCopies(self(), head.epoch(), copies));
    }

    private void sendAllotment(
            String member, PeerMessage.Allotment allotment, Map<String, Integer> charges, long number) {
        timeline.record(EventKind.LIMIT_MOVED, "team", allotment.team(), "member", member, "slots", allotment.slots());
        Optional<Member> deputy = backupOf(allotment.team());
        if (deputy.isPresent()) {
            peers.send(deputy.get().peerAddress(), new PeerMessage.AllotmentRelay(member, number, allotment, charges));
        } else {
            forward(member, allotment);
        }
    }

    private void forward(String holder, PeerMessage.Allotment allotment) {
        head.member(holder).ifPresent(m -> peers.send(m.peerAddress(), allotment));
    }

    private boolean hasEnded(String member) {
        return head.member(member).isEmpty() && !membership.mayHaveRunningWork(member);
    }

    private boolean owns(String team) {
        return Ownership.ownerOf(head, team).filter(m -> m.id().equals(self())).isPresent();
    }

    private Optional<Member> backupOf(String team) {
        return Ownership.backupOf(head, team);
    }

    private String self() {
        return membership.self().id();
    }
}
