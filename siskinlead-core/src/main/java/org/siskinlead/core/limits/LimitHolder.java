package org.siskinlead.core.limits;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.siskinlead.core.invariant.Invariants;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.membership.Ownership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.queue.WaitQueue;
import org.siskinlead.core.time.Timers;

/**
 * Keeps this daemon within the slots and start tokens lent to it. Slots survive a change of owner: the holder tells the
 * new owner what it keeps within. Requests wait for a while, in order of priority raised by waiting.
 */
public final class LimitHolder {
    /** Longest wait for a slot. */
    public static final long MAX_WAIT_MS = 2_000;

    private static final long RESEND_INTERVAL_MS = 50;
    private static final long TOKEN_TTL_MS = 1_000;
    private static final int MAX_WAITING_REQUESTS = 256;

    private final Membership membership;
    private final Peers peers;
    private final Timers timers;
    private final Invariants invariants;
    private final Function<String, TeamLimit> limits;
    private final Map<String, TeamSlots> teams = new TreeMap<>();
    private String selfId;
    private long epoch;

    private LimitHolder(
            Membership membership,
            Peers peers,
            Timers timers,
            Invariants invariants,
            Function<String, TeamLimit> limits) {
        this.membership = membership;
        this.peers = peers;
        this.timers = timers;
        this.invariants = invariants;
        this.limits = limits;
        this.selfId = membership.self().id();
    }

    /**
     * Creates a holder that follows the membership.
     * @param membership source of epochs
     * @param peers way to the owners
     * @param timers time
     * @param invariants checks
     * @param limits limit in force of each team
     * @return the holder
     */
    public static LimitHolder of(
            Membership membership,
            Peers peers,
            Timers timers,
            Invariants invariants,
            Function<String, TeamLimit> limits) {
        LimitHolder holder = new LimitHolder(membership, peers, timers, invariants, limits);
        membership.onHead(holder::onHead);
        timers.every(RESEND_INTERVAL_MS, holder::resendDemands);
        return holder;
    }

    // Queries

    /**
     * Counts the requests of a team that run here.
     * @param team name of the team
     * @return slots in use
     */
    public int usedSlots(String team) {
        TeamSlots held = teams.get(team);
        return held == null ? 0 : held.used;
    }

    /**
     * Counts the slots that this daemon keeps within.
     * @param team name of the team
     * @return slots held
     */
    public int heldSlots(String team) {
        TeamSlots held = teams.get(team);
        return held == null ? 0 : held.heldSlots();
    }

    // Commands

    /**
     * Takes a slot and a start token, now or as soon as both are lent.
     * @param team name of the team
     * @param priority priority of the request, higher first
     * @param maxWaitMillis longest wait in milliseconds
     * @param onAnswer receives the answer once
     */
    public void acquire(String team, int priority, long maxWaitMillis, Consumer<Admission> onAnswer) {
        TeamSlots held = teams.computeIfAbsent(team, TeamSlots::new);
        if (held.waiting.size() == 0 && held.tryAcquire()) {
            onAnswer.accept(Admission.ADMITTED);
            return;
        }
        held.waiting.add(priority, Math.min(maxWaitMillis, MAX_WAIT_MS), new WaitQueue.Outcome() {
            @Override
            public void granted() {
                onAnswer.accept(Admission.ADMITTED);
            }

            @Override
            public void timedOut() {
                onAnswer.accept(Admission.LIMIT_REACHED);
            }

            @Override
            public void shed() {
                onAnswer.accept(Admission.QUEUE_FULL);
            }
        });
        held.sendDemand();
    }

    /**
     * Gives back a slot.
     * @param team name of the team
     */
    public void release(String team) {
        TeamSlots held = teams.get(team);
        if (held == null || !invariants.hold(held.used > 0, "slot-released-once", team)) {
            return;
        }
        boolean shrinking = held.used > held.allottedSlots;
        held.used--;
        held.grantWaiting();
        if (shrinking) {
            held.sendDemand();
        }
    }

    /**
     * Takes an allotment.
     * @param allotment the allotment
     */
    public void onAllotment(PeerMessage.Allotment allotment) {
        if (allotment.epoch() != epoch || !membership.isActive()) {
            return;
        }
        teams.computeIfAbsent(allotment.team(), TeamSlots::new).apply(allotment);
    }

    /**
     * Answers an owner that asks what this daemon holds.
     * @param request the request
     */
    public void onHoldingsRequest(PeerMessage.HoldingsRequest request) {
        if (request.epoch() == epoch) {
            membership.head().member(request.from()).ifPresent(this::sendHoldings);
        }
    }

    /** Applies lowered limits at once: each holder shrinks in proportion, so the sum fits without asking the owner. */
    public void onLimitsChanged() {
        teams.values().forEach(TeamSlots::onLimitChanged);
    }

    private void onHead(Head head) {
        if (head.epoch() == epoch) {
            return;
        }
        epoch = head.epoch();
        clearSlotsOfEarlierIncarnation(head);
        head.members().forEach(this::sendHoldings);
    }

    /** Drops slots lent to an incarnation that was removed; its owners count them only until its work has ended. */
    private void clearSlotsOfEarlierIncarnation(Head head) {
        String id = membership.self().id();
        if (!id.equals(selfId) || head.member(id).isEmpty()) {
            selfId = id;
            teams.values().forEach(held -> held.allottedSlots = 0);
        }
    }

    private void sendHoldings(Member owner) {
        peers.send(
                owner.peerAddress(), new PeerMessage.Holdings(membership.self().id(), epoch, holdingsFor(owner)));
    }

    private Map<String, Integer> holdingsFor(Member owner) {
        Map<String, Integer> held = new TreeMap<>();
        teams.forEach((team, h) -> {
            if (h.heldSlots() > 0 && isOwner(owner, team)) {
                held.put(team, h.heldSlots());
            }
        });
        return held;
    }

    private boolean isOwner(Member member, String team) {
        return Ownership.ownerOf(membership.head(), team)
                .filter(o -> o.id().equals(member.id()))
                .isPresent();
    }

    private void resendDemands() {
        for (TeamSlots held : teams.values()) {
            if (held.waiting.size() > 0) {
                held.sendDemand();
            }
        }
    }

    private final class TeamSlots {
        private final String team;
        private final WaitQueue waiting = WaitQueue.of(timers, MAX_WAITING_REQUESTS);
        private long ledgerId = -1;
        private long sequence;
        private int allottedSlots;
        private int used;
        private long tokensTotal;
        private long tokensSpent;
        private long tokensExpireAt;
        private int lastLimit;

        TeamSlots(String team) {
            this.team = team;
            this.lastLimit = limits.apply(team).maxConcurrent();
        }

        int heldSlots() {
            return Math.max(allottedSlots, used);
        }

        boolean tryAcquire() {
            if (used >= allottedSlots || availableTokens() <= 0 || !membership.isActive()) {
                return false;
            }
            used++;
            tokensSpent++;
            invariants.hold(used <= limits.apply(team).maxConcurrent(), "team-within-limit", team);
            return true;
        }

        long availableTokens() {
            if (timers.nowMillis() >= tokensExpireAt) {
                tokensSpent = tokensTotal;
            }
            return tokensTotal - tokensSpent;
        }

        void apply(PeerMessage.Allotment allotment) {
            if (allotment.ledger() < ledgerId) {
                return;
            }
            if (allotment.ledger() > ledgerId) {
                ledgerId = allotment.ledger();
                sequence = -1;
                tokensTotal = 0;
                tokensSpent = 0;
            }
            if (allotment.tokensTotal() > tokensTotal) {
                tokensTotal = allotment.tokensTotal();
                tokensExpireAt = timers.nowMillis() + TOKEN_TTL_MS;
            }
            if (allotment.sequence() > sequence) {
                sequence = allotment.sequence();
                boolean shrunk = allotment.slots() < allottedSlots;
                allottedSlots = Math.min(allotment.slots(), limits.apply(team).maxConcurrent());
                if (shrunk) {
                    sendDemand();
                }
            }
            grantWaiting();
        }

        void onLimitChanged() {
            int limit = limits.apply(team).maxConcurrent();
            if (limit < lastLimit) {
                allottedSlots = (int) ((long) allottedSlots * limit / lastLimit);
                sendDemand();
            }
            lastLimit = limit;
        }

        void grantWaiting() {
            waiting.grantWhile(this::tryAcquire);
        }

        void sendDemand() {
            int slotsWanted = Math.max(0, waiting.size() - Math.max(0, allottedSlots - used));
            int tokensWanted = (int) Math.max(0, waiting.size() - availableTokens());
            PeerMessage demand = new PeerMessage.LimitDemand(
                    membership.self().id(),
                    membership.self().peerAddress(),
                    epoch,
                    team,
                    ledgerId,
                    sequence,
                    heldSlots(),
                    used,
                    slotsWanted,
                    tokensWanted);
            Ownership.ownerOf(membership.head(), team).ifPresent(o -> peers.send(o.peerAddress(), demand));
        }
    }
}
