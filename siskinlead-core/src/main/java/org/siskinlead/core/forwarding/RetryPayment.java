package org.siskinlead.core.forwarding;

import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;

/** Charges the next send of a request to the retry budget at the moment at which it is sent. */
final class RetryPayment {
    private final RetryBudgetShare budget;
    private final String service;
    private Cost cost = Cost.FREE;

    /** Whether a send counts against the budget; one after a failed connection does not, since nothing was sent. */
    enum Cost {
        BUDGETED,
        FREE
    }

    RetryPayment(RetryBudgetShare budget, String service) {
        this.budget = budget;
        this.service = service;
    }

    /** Tells whether the next send has to wait for the budget. */
    boolean isShort(Purpose purpose) {
        return cost == Cost.BUDGETED && budget.available(service, purpose) == 0;
    }

    /** Gets the time until the next send can be paid after a number of others, in milliseconds. */
    long millisToPay(Purpose purpose, int ahead) {
        return cost == Cost.FREE ? 0 : budget.millisToAcquire(service, purpose, ahead);
    }

    /** Sets the cost of the next send. */
    void onDue(Cost costOfSend) {
        cost = costOfSend;
    }

    /** Pays for the send that is about to follow; returns false without budget. */
    boolean pay(Purpose purpose) {
        if (cost == Cost.BUDGETED && !budget.tryAcquire(service, purpose)) {
            return false;
        }
        cost = Cost.FREE;
        return true;
    }
}
