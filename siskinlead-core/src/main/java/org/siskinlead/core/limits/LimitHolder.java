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
 * Keeps this daemon within the slots and start tokens allotted to it. Slots survive a change of owner: the holder
 * reports them to the new owner. Requests without a slot wait in a queue, by priority, which rises with waiting time.
 */
public final class LimitHolder {
    /** Maximum wait for a slot. */
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
     * Creates a holder that reports its slots at each new epoch.
     * @param membership source of heads
     * @param peers transport to the owners
     * @param timers clock and timers
     * @param invariants reports violated invariants
     * @param limits maps a team to its limit in force
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
     * Counts the running requests of a team on this daemon.
     * @param team name of the team
     * @return slots in use
     */
    public int usedSlots(String team) {
        TeamSlots teamSlots = teams.get(team);
        return teamSlots == null ? 0 : teamSlots.used;
    }

    /**
     * Counts the slots of a team that this daemon holds.
     * @param team name of the team
     * @return slots allotted or, while more are in use, slots in use
     */
    public int heldSlots(String team) {
        TeamSlots teamSlots = teams.get(team);
        return teamSlots == null ? 0 : teamSlots.heldSlots();
    }

    // Commands

    /**
     * Acquires a slot and a start token, at once or as soon as both are available.
     * @param team name of the team
     * @param priority priority of the request, higher first
     * @param maxWaitMillis maximum wait in milliseconds, capped at {@link #MAX_WAIT_MS}
     * @param onAnswer receives the result once
     */
    public void acquire(String team, int priority, long maxWaitMillis, Consumer<Admission> onAnswer) {
        TeamSlots teamSlots = teams.computeIfAbsent(team, TeamSlots::new);
        if (teamSlots.waiting.size() == 0 && teamSlots.tryAcquire()) {
            onAnswer.accept(Admission.ADMITTED);
            return;
        }
        teamSlots.waiting.add(priority, Math.min(maxWaitMillis, MAX_WAIT_MS), new WaitQueue.Callback() {
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
        teamSlots.sendDemand();
    }

    /**
     * Releases a slot.
     * @param team name of the team
     */
    public void release(String team) {
        TeamSlots teamSlots = teams.get(team);
        if (teamSlots == null || !invariants.check(teamSlots.used > 0, "slot-released-once", team)) {
            return;
        }
        boolean shrinking = teamSlots.used > teamSlots.allottedSlots;
        teamSlots.used--;
        teamSlots.grantWaiting();
        if (shrinking) {
            teamSlots.sendDemand();
        }
    }

    /**
     * Handles an allotment; one of another epoch is ignored.
     * @param allotment the message
     */
    public void onAllotment(PeerMessage.Allotment allotment) {
        if (allotment.epoch() != epoch || !membership.isActive()) {
            return;
        }
        teams.computeIfAbsent(allotment.team(), TeamSlots::new).apply(allotment);
    }

    /**
     * Answers an owner's request for the slots held by this daemon.
     * @param request the message
     */
    public void onHoldingsRequest(PeerMessage.HoldingsRequest request) {
        if (request.epoch() == epoch) {
            membership.head().member(request.from()).ifPresent(this::sendHoldings);
        }
    }

    /**
     * Applies lowered limits: a holder gives up its slots until the owner, which alone knows how many requests still run
     * elsewhere, allots new ones within the lowered limit.
     */
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

    /** Clears the slots of a removed incarnation; owners count them only until its requests have ended. */
    private void clearSlotsOfEarlierIncarnation(Head head) {
        String id = membership.self().id();
        if (!id.equals(selfId) || head.member(id).isEmpty()) {
            selfId = id;
            teams.values().forEach(teamSlots -> teamSlots.allottedSlots = 0);
        }
    }

    private void sendHoldings(Member owner) {
        peers.send(
                owner.peerAddress(), new PeerMessage.Holdings(membership.self().id(), epoch, holdingsFor(owner)));
    }

    private Map<String, Integer> holdingsFor(Member owner) {
        Map<String, Integer> holdings = new TreeMap<>();
        teams.forEach((team, teamSlots) -> {
            if (teamSlots.heldSlots() > 0 && isOwner(owner, team)) {
                holdings.put(team, teamSlots.heldSlots());
            }
        });
        return holdings;
    }

    private boolean isOwner(Member member, String team) {
        return Ownership.ownerOf(membership.head(), team)
                .filter(o -> o.id().equals(member.id()))
                .isPresent();
    }

    private void resendDemands() {
        for (TeamSlots teamSlots : teams.values()) {
            if (teamSlots.waiting.size() > 0) {
                teamSlots.sendDemand();
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
            invariants.check(used <= limits.apply(team).maxConcurrent(), "team-within-limit", team);
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
                int before = allottedSlots;
                int limit = limits.apply(team).maxConcurrent();
                boolean allottedBeforeLowering = allotment.limit() > limit;
                allottedSlots = allottedBeforeLowering ? 0 : Math.min(allotment.slots(), limit);
                if (allottedSlots < before) {
                    sendDemand();
                }
            }
            grantWaiting();
        }

        void onLimitChanged() {
            int limit = limits.apply(team).maxConcurrent();
            if (limit < lastLimit) {
                allottedSlots = 0;
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
