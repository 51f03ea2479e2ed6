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
 * Allots the limits that this daemon owns to the daemons that want them. Every allotment is sent through the owner's
 * backup, which would own the limit next: the backup therefore knows all slots that may be allotted and takes over at
 * once when the owner is removed. Any other new owner allots nothing before every member has reported its slots and the
 * requests of removed members have certainly ended.
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
     * Creates an owner that follows changes of the head.
     * @param membership source of heads
     * @param peers transport to the holders
     * @param timers clock and timers
     * @param timeline receives events
     * @param invariants reports violated invariants
     * @param limits maps a team to its limit in force
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
     * Handles a member's report of its slots at the start of an epoch.
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
     * Handles a member's demand, which may lead to allotments to it and other holders.
     * @param demand the message
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
     * Records, as the backup, an owner's allotment and forwards it to the holder.
     * @param relay the allotment
     */
    public void onRelay(PeerMessage.AllotmentRelay relay) {
        if (relay.allotment().epoch() == head.epoch() && replicas.onRelay(relay)) {
            forward(relay.holder(), relay.allotment());
        }
    }

    /**
     * Records, as the backup, all allocations of an owner.
     * @param copies copies of the owner's ledgers
     */
    public void onCopies(PeerMessage.LedgerCopies copies) {
        if (copies.epoch() == head.epoch()) {
            replicas.onCopies(copies);
        }
    }

    /**
     * Answers a backup that has not received copies of this owner's ledgers.
     * @param request the message
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

    /** Opens a ledger for every owned team with reported slots, so that the copies are complete. */
    private void openLedgersOfReportedTeams() {
        Set<String> teams = new TreeSet<>();
        holdings.values().forEach(held -> teams.addAll(held.keySet()));
        for (String team : teams) {
            if (owns(team) && !ledgers.containsKey(team) && mayOpenLedger(team)) {
                openLedger(team);
            }
        }
    }

    /** Sends each member the ledgers of which it is the backup, once per epoch. */
    private void sendCopies() {
        if (!copiesSent) {
            copiesSent = true;
            head.members().forEach(this::sendCopies);
        }
    }

    private void sendCopies(Member member) {
        List<PeerMessage.LedgerCopy> copies = new ArrayList<>();
        ledgers.forEach((team, ledger) -> {
            if (backupOf(team).filter(m -> m.id().equals(member.id())).isPresent()) {
                copies.add(new PeerMessage.LedgerCopy(team, ledger.charges()));
            }
        });
        peers.send(member.peerAddress(), new PeerMessage.LedgerCopies(self(), head.epoch(), copies));
    }

    private void sendAllotment(
            String member, PeerMessage.Allotment allotment, Map<String, Integer> charges, long number) {
        timeline.record(EventKind.LIMIT_MOVED, "team", allotment.team(), "member", member, "slots", allotment.slots());
        Optional<Member> backup = backupOf(allotment.team());
        if (backup.isPresent()) {
            peers.send(backup.get().peerAddress(), new PeerMessage.AllotmentRelay(member, number, allotment, charges));
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
