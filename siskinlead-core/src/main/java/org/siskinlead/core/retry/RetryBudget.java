package org.siskinlead.core.retry;

import org.siskinlead.core.time.Timers;

/**
 * Limits retries to a share of the requests plus a small constant rate, so that retries cannot multiply the load (after
 * the retry budgets of Finagle).
 */
public final class RetryBudget {
    private static final double RETRIES_PER_REQUEST = 0.2;
    private static final double MIN_RETRIES_PER_SECOND = 10;
    private static final double MAX_BALANCE = 100;

    private final Timers timers;
    private double balance = MIN_RETRIES_PER_SECOND;
    private long refilledAt;

    private RetryBudget(Timers timers) {
        this.timers = timers;
        this.refilledAt = timers.nowMillis();
    }

    /**
     * Creates a budget that holds one second of the constant rate.
     * @param timers clock and scheduler
     * @return the budget
     */
    public static RetryBudget of(Timers timers) {
        return new RetryBudget(timers);
    }

    /** Counts a request, which adds a fraction of a retry to the budget. */
    public void onRequest() {
        balance = Math.min(MAX_BALANCE, balance + RETRIES_PER_REQUEST);
    }

    /**
     * Takes one retry from the budget.
     * @return false when the budget is exhausted
     */
    public boolean tryAcquire() {
        long now = timers.nowMillis();
        balance = Math.min(MAX_BALANCE, balance + (now - refilledAt) / 1000.0 * MIN_RETRIES_PER_SECOND);
        refilledAt = now;
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
