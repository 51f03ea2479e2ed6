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

    private static final long RESEND_MS = 50;
    private static final long TOKEN_LIFE_MS = 1_000;
    private static final int MAX_WAITING = 256;

    private final Membership membership;
    private final Peers peers;
    private final Timers timers;
    private final Invariants invariants;
    private final Function<String, TeamLimit> limits;
    private final Map<String, Held> teams = new TreeMap<>();
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
        timers.every(RESEND_MS, holder::resend);
        return holder;
    }

    // Queries

    /**
     * Counts the requests of a team that run here.
     * @param team name of the team
     * @return slots in use
     */
    public int used(String team) {
        Held held = teams.get(team);
        return held == null ? 0 : held.used;
    }

    /**
     * Counts the slots that this daemon keeps within.
     * @param team name of the team
     * @return slots held
     */
    public int held(String team) {
        Held held = teams.get(team);
        return held == null ? 0 : held.bound();
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
        Held held = teams.computeIfAbsent(team, Held::new);
        if (held.waiting.size() == 0 && held.take()) {
            onAnswer.accept(Admission.ADMITTED);
            return;
        }
        held.waiting.add(priority, Math.min(maxWaitMillis, MAX_WAIT_MS), new WaitQueue.Callback() {
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
        held.demand();
    }

    /**
     * Gives back a slot.
     * @param team name of the team
     */
    public void release(String team) {
        Held held = teams.get(team);
        if (held == null || !invariants.check(held.used > 0, "slot-released-once", team)) {
            return;
        }
        boolean shrinking = held.used > held.slots;
        held.used--;
        held.pump();
        if (shrinking) {
            held.demand();
        }
    }

    /**
     * Takes an allotment.
     * @param allotment the allotment
     */
    public void onAllotment(PeerMessage.Allotment allotment) {
        if (allotment.epoch() != epoch || !membership.inStanding()) {
            return;
        }
        teams.computeIfAbsent(allotment.team(), Held::new).apply(allotment);
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
        teams.values().forEach(Held::onLimitChanged);
    }

    private void onHead(Head head) {
        if (head.epoch() == epoch) {
            return;
        }
        epoch = head.epoch();
        dropSlotsOfEarlierIncarnation(head);
        head.members().forEach(this::sendHoldings);
    }

    /** Drops slots lent to an incarnation that was removed; its owners count them only until its work has ended. */
    private void dropSlotsOfEarlierIncarnation(Head head) {
        String id = membership.self().id();
        if (!id.equals(selfId) || head.member(id).isEmpty()) {
            selfId = id;
            teams.values().forEach(held -> held.slots = 0);
        }
    }

    private void sendHoldings(Member owner) {
        peers.send(
                owner.peerAddress(), new PeerMessage.Holdings(membership.self().id(), epoch, heldOf(owner)));
    }

    private Map<String, Integer> heldOf(Member owner) {
        Map<String, Integer> held = new TreeMap<>();
        teams.forEach((team, h) -> {
            if (h.bound() > 0 && isOwner(owner, team)) {
                held.put(team, h.bound());
            }
        });
        return held;
    }

    private boolean isOwner(Member member, String team) {
        return Ownership.ownerOf(membership.head(), team)
                .filter(o -> o.id().equals(member.id()))
                .isPresent();
    }

    private void resend() {
        for (Held held : teams.values()) {
            if (held.waiting.size() > 0) {
                held.demand();
            }
        }
    }

    private final class Held {
        private final String team;
        private final WaitQueue waiting = WaitQueue.of(timers, MAX_WAITING);
        private long ledger = -1;
        private long sequence;
        private int slots;
        private int used;
        private long tokensTotal;
        private long tokensSpent;
        private long tokensUntil;
        private int limitSeen;

        Held(String team) {
            this.team = team;
            this.limitSeen = limits.apply(team).maxConcurrent();
        }

        int bound() {
            return Math.max(slots, used);
        }

        boolean take() {
            if (used >= slots || tokens() <= 0 || !membership.inStanding()) {
                return false;
            }
            used++;
            tokensSpent++;
            invariants.check(used <= limits.apply(team).maxConcurrent(), "team-within-limit", team);
            return true;
        }

        long tokens() {
            if (timers.nowMillis() >= tokensUntil) {
                tokensSpent = tokensTotal;
            }
            return tokensTotal - tokensSpent;
        }

        void apply(PeerMessage.Allotment allotment) {
            if (allotment.ledger() < ledger) {
                return;
            }
            if (allotment.ledger() > ledger) {
                ledger = allotment.ledger();
                sequence = -1;
                tokensTotal = 0;
                tokensSpent = 0;
            }
            if (allotment.tokensTotal() > tokensTotal) {
                tokensTotal = allotment.tokensTotal();
                tokensUntil = timers.nowMillis() + TOKEN_LIFE_MS;
            }
            if (allotment.sequence() > sequence) {
                sequence = allotment.sequence();
                boolean shrunk = allotment.slots() < slots;
                slots = Math.min(allotment.slots(), limits.apply(team).maxConcurrent());
                if (shrunk) {
                    demand();
                }
            }
            pump();
        }

        void onLimitChanged() {
            int limit = limits.apply(team).maxConcurrent();
            if (limit < limitSeen) {
                slots = (int) ((long) slots * limit / limitSeen);
                demand();
            }
            limitSeen = limit;
        }

        void pump() {
            waiting.grantWhile(this::take);
        }

        void demand() {
            int slotsWanted = Math.max(0, waiting.size() - Math.max(0, slots - used));
            int tokensWanted = (int) Math.max(0, waiting.size() - tokens());
            PeerMessage demand = new PeerMessage.LimitDemand(
                    membership.self().id(),
                    membership.self().peerAddress(),
                    epoch,
                    team,
                    ledger,
                    sequence,
                    bound(),
                    used,
                    slotsWanted,
                    tokensWanted);
            Ownership.ownerOf(membership.head(), team).ifPresent(o -> peers.send(o.peerAddress(), demand));
        }
    }
}
