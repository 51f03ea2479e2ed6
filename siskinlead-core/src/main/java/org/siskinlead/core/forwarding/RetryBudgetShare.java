package org.siskinlead.core.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.siskinlead.core.time.Timers;

/**
 * This daemon's share of the retries that all daemons together may send to a service. Each daemon gets an equal part of
 * the slack and counts its own requests, so the sum stays within the budget without coordination between daemons.
 */
public final class RetryBudgetShare {
    /** Usable fraction of the share; the rest covers retries sent while daemons still disagree on their number. */
    private static final double USABLE_FRACTION = 0.92;
    /**
     * Fraction of the share for streams that have not started. The rest is kept for callers that lose more without a retry: a
     * part of an answer, or the rest of a short time budget; a stream that has not started can be asked for anew.
     */
    private static final double STREAM_START_FRACTION = 0.6;

    /**
     * Retry budget of all daemons together for one service.
     * @param ratio retries allowed per request
     * @param slack retries allowed per window in addition
     * @param windowMillis length of the sliding window in which requests and retries are counted, in milliseconds
     */
    public record Budget(double ratio, double slack, long windowMillis) {}

    private final Budget budget;
    private final IntSupplier daemonCount;
    private final Timers timers;
    private final Map<String, Window> windows = new HashMap<>();

    private RetryBudgetShare(Budget budget, IntSupplier daemonCount, Timers timers) {
        this.budget = budget;
        this.daemonCount = daemonCount;
        this.timers = timers;
    }

    /**
     * Creates a share.
     * @param budget budget of all daemons together
     * @param daemonCount number of daemons that share the budget
     * @param timers clock
     * @return the share
     */
    public static RetryBudgetShare of(Budget budget, IntSupplier daemonCount, Timers timers) {
        return new RetryBudgetShare(budget, daemonCount, timers);
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
     * Counts a request, which adds to the budget of its service.
     * @param service name of the service
     */
    public void onRequest(String service) {
        window(service).requests.add(timers.nowMillis());
    }

    /** Whether a retry counts against the budget; one after a failed connection does not, since nothing was sent. */
    enum Cost {
        BUDGETED,
        FREE
    }

    /** Purposes of a retry. */
    public enum Purpose {
        /** Starts a stream of which nothing has been delivered; limited to a fraction of the share. */
        STREAM_START,
        /** Resumes an interrupted stream, or gets a buffered response; may use the whole share. */
        RESUME_OR_BUFFERED
    }

    /**
     * Takes one retry from the share.
     * @param service name of the service
     * @param purpose purpose of the retry
     * @return false when the share is exhausted
     */
    public boolean tryAcquire(String service, Purpose purpose) {
        Window window = window(service);
        if (window.retries.size() + 1 > allowed(window, purpose)) {
            return false;
        }
        window.retries.add(timers.nowMillis());
        return true;
    }

    /**
     * Gets the time until the share has one retry more, while requests arrive as often as now.
     * @param service name of the service
     * @param purpose purpose of the retry
     * @return milliseconds, 0 if it has one now
     */
    long millisToAcquire(String service, Purpose purpose) {
        Window window = window(service);
        int tooMany = (int) Math.ceil(window.retries.size() + 1 - allowed(window, purpose));
        if (tooMany <= 0) {
            return 0;
        }
        return window.retries.stream()
                .skip(tooMany - 1L)
                .findFirst()
                .map(at -> at + budget.windowMillis() - timers.nowMillis() + 1)
                .orElse(budget.windowMillis());
    }

    private double allowed(Window window, Purpose purpose) {
        return USABLE_FRACTION
                * (purpose == Purpose.STREAM_START ? STREAM_START_FRACTION : 1)
                * (budget.ratio() * window.requests.size() + budget.slack() / Math.max(1, daemonCount.getAsInt()));
    }

    private Window window(String service) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.expire(timers.nowMillis() - budget.windowMillis());
        return window;
    }
}
