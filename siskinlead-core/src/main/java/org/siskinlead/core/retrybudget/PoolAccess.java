package org.siskinlead.core.retrybudget;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.siskinlead.core.time.Timers;

/** State that the claims of this daemon share for all services: the store, the limit of writes and when claims may start. */
final class PoolAccess {
    /** Time for which a chunk may be used: several claims by a store whose calls take 0.2 s, ten times the usual. */
    static final long USE_MS = 2_000;
    /** Added to the time of the lease, for the drift between the clocks of daemon and store. */
    private static final long DRIFT_MARGIN_MS = 200;
    /** A claim opens a lease and writes a key. */
    private static final int CALLS_PER_CLAIM = 2;

    private final TimedLeaseStore store;
    private final Timers timers;
    private final RandomGenerator random;
    private final String holder;
    private final PoolLayout layout;
    private final long windowMillis;
    private final WriteLimiter limiter;
    private final RecentTime claimTime;
    private final ClaimLog log;
    private long closedUntil = Long.MIN_VALUE / 2;
    private int generation;

    PoolAccess(
            RetryBudgetShare.Ports ports, Timers timers, PoolLayout layout, long windowMillis, WriteLimiter limiter) {
        this.store = ports.store();
        this.timers = timers;
        this.random = ports.random();
        this.holder = ports.vm();
        this.layout = layout;
        this.windowMillis = windowMillis;
        this.limiter = limiter;
        this.claimTime = new RecentTime(timers, windowMillis);
        this.log = new ClaimLog(ports.timeline(), timers, windowMillis);
    }

    // Queries

    TimedLeaseStore store() {
        return store;
    }

    Timers timers() {
        return timers;
    }

    RandomGenerator random() {
        return random;
    }

    String holder() {
        return holder;
    }

    PoolLayout layout() {
        return layout;
    }

    WriteLimiter limiter() {
        return limiter;
    }

    ClaimLog log() {
        return log;
    }

    /** Gets the time to live of a claim's lease, so that no two uses of a chunk fall into one window. */
    long leaseMillis() {
        return USE_MS + windowMillis + DRIFT_MARGIN_MS;
    }

    boolean isOpen() {
        return timers.nowMillis() >= closedUntil;
    }

    /** Gets a number that changes when all that the store has said no longer holds. */
    int generation() {
        return generation;
    }

    /** Gets the time that claims have lately taken or, before the first one, two calls of the store; empty if unknown. */
    OptionalLong claimMillis() {
        OptionalLong observed = claimTime.expectedMillis();
        if (observed.isPresent()) {
            return observed;
        }
        OptionalLong call = store.expectedMillis();
        return call.isPresent() ? OptionalLong.of(CALLS_PER_CLAIM * call.getAsLong()) : call;
    }

    // Commands

    void onClaimTook(long millis) {
        claimTime.onTaken(millis);
    }

    /** Allows no claim until each chunk that was used before has left the window. */
    void close() {
        closedUntil = timers.nowMillis() + leaseMillis();
    }

    /** Closes the pool and voids the claims that are under way. */
    void onStoreRestored() {
        generation++;
        close();
    }
}
