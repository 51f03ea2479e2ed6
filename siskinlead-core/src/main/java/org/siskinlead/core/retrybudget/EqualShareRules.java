package org.siskinlead.core.retrybudget;

import org.siskinlead.core.retrybudget.RetryBudgetShare.Budget;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;

/**
 * Gives each daemon an equal part of the slack.
 * @param budget budget of all daemons together
 * @param fleetSize number of daemons
 */
record EqualShareRules(Budget budget, FleetSize fleetSize) implements BudgetRules {
    /**
     * Fraction of the share for streams that have not started. The rest is kept for callers that lose more without a retry: a
     * part of an answer, or the rest of a short time budget; a stream that has not started can be asked for anew.
     */
    private static final double STREAM_START_FRACTION = 0.6;

    @Override
    public long windowMillis() {
        return budget.windowMillis();
    }

    @Override
    public boolean isPooled() {
        return false;
    }

    @Override
    public double allowed(int requests, Purpose purpose) {
        return USABLE_FRACTION
                * (purpose == Purpose.STREAM_START ? STREAM_START_FRACTION : 1)
                * (budget.ratio() * requests + budget.slack() / fleetSize.largest());
    }
}
