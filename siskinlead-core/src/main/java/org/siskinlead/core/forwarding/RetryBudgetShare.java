package org.siskinlead.core.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.siskinlead.core.time.Timers;

/**
 * This daemon's share of the retries that all daemons together may send to a service. The share of the slack is this
 * daemon's part of an equal division, so the sum stays within the budget without a message between daemons.
 */
public final class RetryBudgetShare {
    /** Part of the budget that is used; the rest covers sends that cross a change of the roster. */
    private static final double USABLE_FRACTION = 0.92;
    /** Part of this daemon's share that first answers may use; the rest is kept for streams that must go on. */
    private static final double FIRST_ANSWER_FRACTION = 0.6;

    /**
     * Budget of all daemons for one service.
     * @param ratio retries allowed for each request
     * @param slack retries allowed beside those
     * @param windowMillis time over which both are counted, in milliseconds
     */
    public record Budget(double ratio, double slack, long windowMillis) {}

    private final Budget budget;
    private final IntSupplier daemonCount;
    private final Timers timers;
    private final Map<String, Window> windows = new HashMap<>();

    private RetryBudgetShare(Budget budget, IntSupplier daemons, Timers timers) {
        this.budget = budget;
        this.daemonCount = daemons;
        this.timers = timers;
    }

    /**
     * Creates a share.
     * @param budget budget of all daemons
     * @param daemons number of daemons that share it
     * @param timers time
     * @return the share
     */
    public static RetryBudgetShare of(Budget budget, IntSupplier daemons, Timers timers) {
        return new RetryBudgetShare(budget, daemons, timers);
    }

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> retries = new ArrayDeque<>();

        void expire(long before) {
            while (!requests.isEmpty() && requests.peek() < before) {
                requests.remove();
            }
            while (!retries.isEmpty() && retries.peek() < before) {
                retries.remove();
            }
        }
    }

    /**
     * Counts a request for a service.
     * @param service name of the service
     */
    public void onRequest(String service) {
        window(service).requests.add(timers.nowMillis());
    }

    /** Whether a further send counts against the budget; one that never arrived anywhere does not. */
    enum Cost {
        BUDGETED,
        FREE
    }

    /** What a retry is for. */
    public enum Purpose {
        /** The caller has no part of an answer yet. */
        FIRST_ANSWER,
        /** The caller waits in the middle of an answer. */
        REST_OF_ANSWER
    }

    /**
     * Takes a retry.
     * @param service name of the service
     * @param use what it is for
     * @return false when the share is spent
     */
    public boolean tryAcquire(String service, Purpose use) {
        Window window = window(service);
        double allowed = USABLE_FRACTION
                * (use == Purpose.FIRST_ANSWER ? FIRST_ANSWER_FRACTION : 1)
                * (budget.ratio() * window.requests.size() + budget.slack() / Math.max(1, daemonCount.getAsInt()));
        if (window.retries.size() + 1 > allowed) {
            return false;
        }
        window.retries.add(timers.nowMillis());
        return true;
    }

    private Window window(String service) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.expire(timers.nowMillis() - budget.windowMillis());
        return window;
    }
}
