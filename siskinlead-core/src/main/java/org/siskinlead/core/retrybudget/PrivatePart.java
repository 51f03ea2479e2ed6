package org.siskinlead.core.retrybudget;

import java.util.ArrayDeque;
import java.util.Deque;
import org.siskinlead.core.time.Timers;

/** Requests and retries of this daemon to one service in the last window. */
final class PrivatePart {
    private final Timers timers;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    PrivatePart(Timers timers, long windowMillis) {
        this.timers = timers;
        this.windowMillis = windowMillis;
    }

    int requests() {
        expire();
        return requests.size();
    }

    /** Gets the number of further retries that a limit allows now. */
    int available(double allowed) {
        expire();
        return (int) Math.max(0, Math.floor(allowed - retries.size()));
    }

    /** Gets the time until a limit allows a number of further retries, in milliseconds. */
    long millisTo(int count, double allowed) {
        expire();
        int tooMany = (int) Math.ceil(retries.size() + count - allowed);
        if (tooMany <= 0) {
            return 0;
        }
        return retries.stream()
                .skip(tooMany - 1L)
                .findFirst()
                .map(at -> at + windowMillis - timers.nowMillis() + 1)
                .orElse(windowMillis);
    }

    void onRequest() {
        expire();
        requests.add(timers.nowMillis());
    }

    void onRetry() {
        retries.add(timers.nowMillis());
    }

    private void expire() {
        long before = timers.nowMillis() - windowMillis;
        while (!requests.isEmpty() && requests.peek() < before) {
            requests.remove();
        }
        while (!retries.isEmpty() && retries.peek() < before) {
            retries.remove();
        }
    }
}
