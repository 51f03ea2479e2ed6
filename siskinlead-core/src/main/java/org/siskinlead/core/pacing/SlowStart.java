package org.siskinlead.core.pacing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.siskinlead.core.time.Timers;

/**
 * Pace of one target at one daemon. Every daemon computes the number of requests that the whole fleet may have on the
 * target. Daemons take one request each in the order of their ranks, then another one each, so that their limits add up to
 * this number as long as they agree on it. Daemons without an answer of the target let the number grow with time alone, and
 * correct it by the first one.
 */
final class SlowStart implements Pace {
    /** Number of requests of the whole fleet with which a target starts. */
    private static final int INITIAL_REQUESTS = 4;
    /** Largest part of a target's slots with which it starts, for targets with few slots. */
    private static final double MAX_INITIAL_SLOT_FRACTION = 0.25;

    /** Time after which a pace may end although no answer has shown the usual time; engines warm up in seconds. */
    private static final long MAX_UNKNOWN_MS = 30_000;

    private final Pacing pacing;
    private final Timers timers;
    private final String instanceId;
    private final String service;
    private final int slots;
    private final long begunAt;
    private final DoubleSupplier slowdown;
    private final boolean recorded;
    private final Map<Object, Send> unanswered = new HashMap<>();
    private final double initial;
    private final Set<Object> running = new HashSet<>();
    private double number;
    private int rank;
    private long rankedAt = Long.MIN_VALUE;
    /** Time for which this daemon could have a request on the target, and the sum of the times of those it had. */
    private double turnMillis;

    private double runningMillis;
    /** Time that the last answer took, 0 before one has arrived. */
    private long observedMillis;

    private long updatedAt;
    private long heldUntil;
    private long halvedAt = Long.MIN_VALUE / 2;
    private long limitedAt = Long.MIN_VALUE / 2;
    private boolean ended;

    /** A request that waits for the first part of its answer, which is late after a time. */
    private record Send(long sentAt, long lateAt) {}

    SlowStart(
            Pacing pacing,
            Timers timers,
            String instanceId,
            String service,
            int slots,
            long begunAt,
            DoubleSupplier slowdown,
            boolean recorded) {
        this.pacing = pacing;
        this.timers = timers;
        this.instanceId = instanceId;
        this.service = service;
        this.slots = Math.max(1, slots);
        this.begunAt = begunAt;
        this.slowdown = slowdown;
        this.recorded = recorded;
        this.initial = Math.max(1, Math.min(INITIAL_REQUESTS, Math.floor(MAX_INITIAL_SLOT_FRACTION * slots)));
        this.number = initial;
        this.updatedAt = begunAt;
        this.heldUntil = begunAt;
    }

    @Override
    public boolean isLimiting() {
        update();
        return !ended;
    }

    @Override
    public boolean admits(int inFlight) {
        update();
        if (ended || !pacing.isActive() || inFlight < limit()) {
            return true;
        }
        limitedAt = timers.nowMillis();
        return false;
    }

    /** Gets this daemon's part of the requests that the whole fleet may have on the target. */
    private int limit() {
        int requests = (int) Math.min(Integer.MAX_VALUE, number);
        int daemons = pacing.daemonCount();
        if (rankedAt != pacing.listedAt()) {
            rankedAt = pacing.listedAt();
            rank = pacing.rank(instanceId);
        }
        return requests / daemons + (rank < requests % daemons ? 1 : 0);
    }

    @Override
    public double capacityFraction() {
        update();
        return ended ? 1 : Math.min(1, number / slots);
    }

    @Override
    public void onSent(Object exchange, long objectiveMillis) {
        update();
        if (!ended) {
            long now = timers.nowMillis();
            unanswered.put(exchange, new Send(now, now + Math.max(pacing.usualMillis(service), objectiveMillis)));
            running.add(exchange);
        }
    }

    @Override
    public void onAnswered(Object exchange) {
        update();
        Send send = unanswered.remove(exchange);
        if (send == null) {
            return;
        }
        long now = timers.nowMillis();
        long tookMillis = now - send.sentAt();
        observedMillis = Math.max(1, tookMillis);
        if (now > send.lateAt()) {
            // The number grew by shorter answer times before, and need not exceed what keeps all slots busy.
            double grown = initial * Math.pow(2, (now - begunAt) / (double) tookMillis);
            number = Math.max(1, Math.min(number, Math.min(grown, slots / useOfTurn())));
            // The next answer that tells more may take as long as this one.
            heldUntil = Math.max(heldUntil, now + tookMillis);
            pacing.increment(Pacing.Count.HELD);
        }
    }

    /** Gets the mean number of requests that a daemon has on the target while it may have one, from its own use. */
    private double useOfTurn() {
        return Math.min(1, runningMillis / Math.max(1, turnMillis));
    }

    @Override
    public void onEnded(Object exchange) {
        update();
        running.remove(exchange);
        Send send = unanswered.get(exchange);
        if (send != null && timers.nowMillis() > send.lateAt()) {
            onAnswered(exchange);
        } else {
            unanswered.remove(exchange);
        }
    }

    /** Halves the number, once in each period, since requests sent together fail together. */
    @Override
    public void onRefused() {
        update();
        long now = timers.nowMillis();
        double period = periodMillis();
        if (ended || now - halvedAt < period) {
            return;
        }
        halvedAt = now;
        number = Math.max(1, number / 2);
        heldUntil = Math.max(heldUntil, now + Math.round(period));
        pacing.increment(Pacing.Count.HALVED);
    }

    /** Lets the number grow for the time since the last update in which it was not held and no answer was late. */
    private void update() {
        long now = timers.nowMillis();
        if (ended || now <= updatedAt) {
            return;
        }
        long from = Math.max(updatedAt, heldUntil);
        long until = now;
        for (Send send : unanswered.values()) {
            until = Math.min(until, send.lateAt());
        }
        // With this number every daemon has a turn, and all slots can be used.
        double enough = Math.max(slots, pacing.daemonCount());
        double most = (double) slots * pacing.daemonCount();
        boolean wasLimiting = now - limitedAt < periodMillis();
        if (until > from) {
            double grown = number * Math.pow(2, (until - from) / periodMillis());
            number = Math.max(number, Math.min(wasLimiting ? most : enough, grown));
        }
        if (limit() > 0) {
            turnMillis += now - updatedAt;
            runningMillis += (double) running.size() * (now - updatedAt);
        }
        updatedAt = now;
        boolean isHeld = until < now || now < heldUntil;
        if (number >= (wasLimiting ? most : enough) && isKnown() && !isHeld) {
            ended = true;
            unanswered.clear();
            running.clear();
            pacing.onEnded(instanceId, now - begunAt, recorded);
        }
    }

    /** Tells whether the last answer has shown that the target is as fast as usual, or it never will be. */
    private boolean isKnown() {
        return (observedMillis > 0 && observedMillis <= pacing.usualMillis(service))
                || timers.nowMillis() - begunAt > MAX_UNKNOWN_MS;
    }

    /**
     * Gets the time in which the number doubles. A daemon without an answer of the target allows for the longest time that
     * is not late, because the daemons before it learn no sooner whether the target keeps up.
     */
    private double periodMillis() {
        long usual = pacing.usualMillis(service);
        long expected = observedMillis > 0 ? observedMillis : pacing.objectiveMillis(service);
        return Math.max(usual, expected) * slowdown.getAsDouble();
    }
}
