package org.siskinlead.core.retrybudget;

import org.siskinlead.core.retrybudget.RetryBudgetShare.Budget;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;

/** Decides how much of the budget of all daemons this daemon may use without asking anyone. */
interface BudgetRules {
    /** Usable fraction of the budget; the rest covers retries sent while daemons disagree on their number. */
    double USABLE_FRACTION = 0.92;

    /** Gets the length of the window in which requests and retries are counted, in milliseconds. */
    long windowMillis();

    /** Tells whether the rest of the slack may be claimed from the pool. */
    boolean isPooled();

    /** Gets the retries allowed in a window in which this daemon has received a number of requests. */
    double allowed(int requests, Purpose purpose);

    /** Creates the rules for equal shares. */
    static BudgetRules equalShares(Budget budget, FleetSize fleetSize) {
        return new EqualShareRules(budget, fleetSize);
    }
}
