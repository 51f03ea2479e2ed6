package org.siskinlead.core.retrybudget;

import org.siskinlead.core.retrybudget.RetryBudgetShare.Budget;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;
import org.siskinlead.core.time.Timers;

/** Gives each daemon a small private part where equal shares would be small, and equal shares elsewhere. */
final class PooledRules implements BudgetRules {
    /**
     * Fraction for streams that have not started, of the private part and of the pool. More than of an equal share, since
     * what is left in the pool serves the resumptions and buffered requests of any daemon.
     */
    static final double STREAM_START_FRACTION = 0.8;

    /** Equal share of the slack below which the pool is used, in retries. */
    private static final double MIN_EQUAL_SHARE = 16;
    /** Largest fleet in which equal shares are always used. */
    private static final int MAX_SMALL_FLEET = 8;
    /** Factor by which a fleet must exceed a small one to have certainly used its pool before a daemon started. */
    private static final int CERTAIN_FACTOR = 2;

    private static final long SAMPLE_INTERVAL_MS = 1_000;

    private final Budget budget;
    private final BudgetRules equalShares;
    private final FleetSize fleetSize;
    private final PoolAccess pool;
    private final Timers timers;
    private final long startedAt;
    private boolean pooled;

    private PooledRules(Budget budget, BudgetRules equalShares, FleetSize fleetSize, PoolAccess pool, Timers timers) {
        this.budget = budget;
        this.equalShares = equalShares;
        this.fleetSize = fleetSize;
        this.pool = pool;
        this.timers = timers;
        this.startedAt = timers.nowMillis();
    }

    static PooledRules of(Budget budget, BudgetRules equalShares, FleetSize fleetSize, PoolAccess pool, Timers timers) {
        PooledRules rules = new PooledRules(budget, equalShares, fleetSize, pool, timers);
        timers.every(SAMPLE_INTERVAL_MS, rules::isPooled);
        return rules;
    }

    @Override
    public long windowMillis() {
        return budget.windowMillis();
    }

    @Override
    public boolean isPooled() {
        int daemons = fleetSize.largest();
        boolean before = pooled;
        pooled = daemons > MAX_SMALL_FLEET && budget.slack() / daemons < MIN_EQUAL_SHARE;
        if (pooled && !before && daemons <= CERTAIN_FACTOR * MAX_SMALL_FLEET) {
            // The others may have used their equal shares until now.
            pool.close();
        }
        return pooled;
    }

    @Override
    public double allowed(int requests, Purpose purpose) {
        if (!isPooled()) {
            return equalShares.allowed(requests, purpose);
        }
        // A process that has just started does not know what the one before has used of its part.
        boolean knowsWindow = timers.nowMillis() - startedAt >= budget.windowMillis();
        double privateSlack = knowsWindow ? PoolLayout.PRIVATE_FRACTION * budget.slack() / fleetSize.largest() : 0;
        return USABLE_FRACTION
                * (purpose == Purpose.STREAM_START ? STREAM_START_FRACTION : 1)
                * (budget.ratio() * requests + privateSlack);
    }
}
