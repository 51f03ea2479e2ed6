package org.siskinlead.core.retrybudget;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.platform.LeaseStore.Change;
import org.siskinlead.core.platform.LeaseStore.Condition;
import org.siskinlead.core.platform.LeaseStore.Outcome;

/**
 * Claims chunks of one service's pool. A claim writes the key of a chunk under a lease, on condition that the key is
 * absent, and grants the chunk only once the store has confirmed that. Nothing is returned: keys are removed with their
 * lease, which lasts for one window after the last use.
 */
final class ChunkClaims {
    private static final String PREFIX = "siskinlead-retry/";

    /** Unconfirmed claims at a time; more would often be refused for chunks that others take meanwhile. */
    private static final int MAX_UNDER_WAY = 8;
    /** Chunks found taken in a row after which a claim fails; with a fifth of the chunks free, that is one in ten. */
    private static final int MAX_TAKEN = 10;
    /** Time after which a claim that has found only taken chunks fails, where few writes are allowed. */
    private static final long MAX_CLAIM_MS = PoolAccess.USE_MS;
    /** Part of the time of use in which further chunks are claimed under the same lease. */
    private static final long REUSE_LEASE_MS = PoolAccess.USE_MS * 3 / 4;
    /** Time for which a chunk that another daemon holds is not tried again. */
    private static final long AVOID_TAKEN_MS = 1_000;
    /** Pause after a claim that failed, doubled with each further one, so that a drained pool costs few writes. */
    private static final long MIN_PAUSE_MS = 200;

    private static final long MAX_PAUSE_MS = 3_200;
    /** Expected times after which a claim without an answer counts as lost. */
    private static final int LATE_AFTER_TIMES = 3;

    private static final long LATE_MARGIN_MS = 20;
    /** Time of a claim of which nothing is known. */
    static final long UNKNOWN_MS = Long.MAX_VALUE / 4;

    private final String service;
    private final PoolAccess pool;
    private final HeldChunks held;
    private final List<Claim> underWay = new ArrayList<>();
    private final Deque<Claim> awaitingLease = new ArrayDeque<>();
    /** Times until which chunks are not tried, by number. */
    private final Map<Integer, Long> avoidUntil = new HashMap<>();

    private @Nullable Lease lease;
    private long pausedUntil = Long.MIN_VALUE / 2;
    private int failures;
    /** Chunks found taken since the last claim that succeeded or failed. */
    private int takenInRow;

    private record Lease(long number, long requestedAt, Freshness use, int generation) {}

    private static final class Claim {
        private final RetryBudgetShare.Purpose purpose;
        private final long beganAt;
        private final int generation;
        /** Time at which it began to wait for the store, later than now while the limit of writes delays it. */
        private long startedAt;

        Claim(RetryBudgetShare.Purpose purpose, long beganAt, int generation) {
            this.purpose = purpose;
            this.beganAt = beganAt;
            this.startedAt = beganAt;
            this.generation = generation;
        }
    }

    ChunkClaims(String service, PoolAccess pool, HeldChunks held) {
        this.service = service;
        this.pool = pool;
        this.held = held;
    }

    // Queries

    /**
     * Gets the time in which a number of chunks can be expected, in milliseconds; {@link #UNKNOWN_MS} while nothing tells,
     * such as after a claim that failed.
     */
    long expectedMillis(int chunks) {
        OptionalLong usual = pool.claimMillis();
        if (underWay.isEmpty() || failures > 0 || usual.isEmpty()) {
            return UNKNOWN_MS;
        }
        long perClaim = Math.max(1, usual.getAsLong());
        long first = underWay.stream()
                .mapToLong(claim -> now() - claim.startedAt)
                .filter(elapsed -> elapsed <= LATE_AFTER_TIMES * perClaim + LATE_MARGIN_MS)
                .map(elapsed -> Math.max(1, perClaim - elapsed))
                .min()
                .orElse(UNKNOWN_MS);
        if (first == UNKNOWN_MS) {
            return UNKNOWN_MS;
        }
        int rounds = (chunks + MAX_UNDER_WAY - 1) / MAX_UNDER_WAY;
        long writes = pool.limiter().millisTo(Math.max(0, chunks - underWay.size()));
        return first + Math.max((rounds - 1) * perClaim, writes);
    }

    private long now() {
        return pool.timers().nowMillis();
    }

    // Commands

    /** Starts claims until a number of them are under way, as far as the limits allow. */
    void claim(RetryBudgetShare.Purpose purpose, int chunks) {
        int wanted = Math.min(chunks, MAX_UNDER_WAY);
        while (underWay.size() < wanted && pool.isOpen() && now() >= pausedUntil) {
            Claim claim = new Claim(purpose, now(), pool.generation());
            underWay.add(claim);
            proceed(claim);
        }
    }

    private void proceed(Claim claim) {
        Lease current = lease;
        if (claim.generation != pool.generation()) {
            fail(claim, "the store was restored");
        } else if (current == null && !awaitingLease.isEmpty()) {
            awaitingLease.add(claim);
        } else if (!pool.limiter().tryWrite()) {
            long delayMillis = pool.limiter().millisTo(1);
            claim.startedAt = now() + delayMillis;
            pool.timers().after(delayMillis, () -> proceed(claim));
        } else if (current == null || !isReusable(current)) {
            lease = null;
            awaitingLease.add(claim);
            openLease();
        } else {
            writeKey(claim, current);
        }
    }

    private boolean isReusable(Lease known) {
        return known.generation == pool.generation()
                && known.use.isFresh()
                && now() - known.requestedAt < REUSE_LEASE_MS;
    }

    private void openLease() {
        Freshness.ClockReading sent = Freshness.ClockReading.now(pool.timers());
        int generation = pool.generation();
        pool.store().openLease(pool.leaseMillis(), result -> {
            boolean granted = result.outcome() == Outcome.DONE
                    && result.ttlMillis() >= pool.leaseMillis()
                    && generation == pool.generation();
            if (granted) {
                Freshness use = Freshness.of(pool.timers(), PoolAccess.USE_MS);
                use.recordProof(sent);
                lease = new Lease(result.lease(), sent.monotonicMillis(), use, generation);
            }
            List<Claim> waiting = List.copyOf(awaitingLease);
            awaitingLease.clear();
            for (Claim claim : waiting) {
                if (granted) {
                    proceed(claim);
                } else {
                    fail(claim, "no lease: " + result.outcome() + " for " + result.ttlMillis() + " ms");
                }
            }
        });
    }

    private void writeKey(Claim claim, Lease under) {
        int number = choose(claim.purpose);
        if (number < 0) {
            fail(claim, "all chunks are taken");
            return;
        }
        // Not tried by another claim of this daemon either, whatever becomes of the write.
        avoidUntil.put(number, now() + pool.leaseMillis());
        pool.store()
                .commit(
                        List.of(new Condition(PREFIX + service + "/" + number, LeaseStore.ABSENT)),
                        List.of(new Change(
                                PREFIX + service + "/" + number,
                                pool.holder().getBytes(StandardCharsets.UTF_8),
                                under.number)),
                        outcome -> onWritten(claim, under, number, outcome));
    }

    /** Chooses a chunk at random among those that are not known to be taken; returns -1 without one. */
    private int choose(RetryBudgetShare.Purpose purpose) {
        avoidUntil.values().removeIf(until -> until <= now());
        int[] free = java.util.stream.IntStream.range(0, pool.layout().chunksFor(purpose))
                .filter(number -> !avoidUntil.containsKey(number))
                .toArray();
        return free.length == 0 ? -1 : free[pool.random().nextInt(free.length)];
    }

    private void onWritten(Claim claim, Lease under, int number, Outcome outcome) {
        if (claim.generation != pool.generation()) {
            fail(claim, "the store was restored");
        } else if (outcome == Outcome.DONE) {
            underWay.remove(claim);
            failures = 0;
            takenInRow = 0;
            pool.onClaimTook(now() - claim.startedAt);
            pool.log().onClaimed(service);
            held.add(new Chunk(
                    under.use, pool.layout().isShared(number), pool.layout().chunkSize()));
        } else if (outcome == Outcome.CONFLICT) {
            avoidUntil.put(number, now() + AVOID_TAKEN_MS);
            takenInRow++;
            if (takenInRow < MAX_TAKEN && now() - claim.beganAt < MAX_CLAIM_MS) {
                proceed(claim);
            } else {
                fail(claim, "all chunks tried were taken");
            }
        } else {
            lease = null;
            fail(claim, "not written: " + outcome);
        }
    }

    private void fail(Claim claim, String reason) {
        underWay.remove(claim);
        takenInRow = 0;
        pool.log().onFailed(service, reason);
        if (now() >= pausedUntil) {
            long pause = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS << Math.min(failures, 4));
            pausedUntil = now() + pause / 2 + pool.random().nextLong(pause);
            failures++;
        }
    }
}
