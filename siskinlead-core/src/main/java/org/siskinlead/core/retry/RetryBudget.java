package org.siskinlead.core.retry;

import org.siskinlead.core.time.Timers;

/**
 * Allows retries as a share of requests plus a small steady rate, so that retries cannot multiply load (after the retry
 * budgets published for Finagle).
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
     * Creates a budget with a second's worth of steady retries.
     * @param timers time
     * @return the budget
     */
    public static RetryBudget of(Timers timers) {
        return new RetryBudget(timers);
    }

    /** Counts a request, which earns a share of a retry. */
    public void onRequest() {
        balance = Math.min(MAX_BALANCE, balance + RETRIES_PER_REQUEST);
    }

    /**
     * Takes a retry.
     * @return false when the budget is spent
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
