package org.siskinlead.core.retrybudget;

import java.util.ArrayDeque;
import java.util.Deque;

/** Checks in every window that all daemons together stay within ratio x requests + slack. It knows only these two counts. */
final class BudgetChecker {
    private final RetryBudgetShare.Budget budget;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();
    int total;
    double worstExcess = Double.NEGATIVE_INFINITY;

    BudgetChecker(RetryBudgetShare.Budget budget) {
        this.budget = budget;
    }

    void onRequest(long now) {
        requests.add(now);
    }

    void onRetry(long now) {
        retries.add(now);
        total++;
        check(now);
    }

    /** Checks the window that ends now; returns the number of retries in it. */
    int check(long now) {
        while (!requests.isEmpty() && requests.peek() <= now - budget.windowMillis()) {
            requests.remove();
        }
        while (!retries.isEmpty() && retries.peek() <= now - budget.windowMillis()) {
            retries.remove();
        }
        worstExcess = Math.max(worstExcess, retries.size() - budget.ratio() * requests.size() - budget.slack());
        return retries.size();
    }
}
