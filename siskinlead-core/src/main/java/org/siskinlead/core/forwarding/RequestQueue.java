package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.siskinlead.core.time.Timers;

/** Queue of requests that wait for target capacity, ordered by priority and then by arrival. */
final class RequestQueue {
    private static final long TICK_MS = 10;
    /** Failed sends in one tick after which the rest of the queue is skipped until the next one. */
    private static final int MAX_FAILED_SENDS_PER_TICK = 4;
    /** Lower bound of the length limit, used while no request has been sent recently. */
    private static final int MIN_LENGTH_LIMIT = 8;

    private static final long RATE_WINDOW_MS = 1_000;

    private final Timers timers;
    private boolean ticking;
    private long windowStartedAt;
    private int sentInWindow;
    private int sentInPreviousWindow;

    /** A queued request. */
    interface Waiter {
        /** Gets the priority, 0 is served first. */
        int priority();

        /** Tries to send the request; returns false when no target has capacity. */
        boolean trySend();

        /** Runs when the maximum wait has passed and the request has not been sent. */
        void onExpired();
    }

    private record Entry(Waiter waiter, int priority, long enqueuedAt, long expiresAt) {}

    private final List<Entry> queue = new ArrayList<>();

    RequestQueue(Timers timers) {
        this.timers = timers;
    }

    // Queries

    int length() {
        return queue.size();
    }

    /** Counts the queued requests that are served before a new one with a priority. */
    int lengthAhead(int priority) {
        return (int) queue.stream().filter(e -> e.priority() <= priority).count();
    }

    /** Estimates from the current rate of sends whether one more request would wait longer than the given time. */
    boolean wouldExceedWait(long waitMillis) {
        double rate = Math.max(sentInWindow, sentInPreviousWindow) / (double) RATE_WINDOW_MS;
        return queue.size() >= Math.max(MIN_LENGTH_LIMIT, rate * waitMillis);
    }

    // Commands

    void add(Waiter waiter, long waitMillis) {
        long now = timers.nowMillis();
        queue.add(new Entry(waiter, waiter.priority(), now, now + waitMillis));
        queue.sort(Comparator.comparingInt(Entry::priority).thenComparingLong(Entry::enqueuedAt));
        if (!ticking) {
            ticking = true;
            timers.after(TICK_MS, this::tick);
        }
    }

    void remove(Waiter waiter) {
        queue.removeIf(e -> e.waiter() == waiter);
    }

    /** Records that a request was sent, whether or not it was queued before. */
    void onSent() {
        long now = timers.nowMillis();
        if (now - windowStartedAt >= RATE_WINDOW_MS) {
            sentInPreviousWindow = now - windowStartedAt < 2 * RATE_WINDOW_MS ? sentInWindow : 0;
            sentInWindow = 0;
            windowStartedAt = now;
        }
        sentInWindow++;
    }

    private void tick() {
        try {
            serve();
            expire();
        } finally {
            ticking = !queue.isEmpty();
            if (ticking) {
                timers.after(TICK_MS, this::tick);
            }
        }
    }

    private void serve() {
        int failed = 0;
        for (Entry entry : List.copyOf(queue)) {
            if (failed >= MAX_FAILED_SENDS_PER_TICK) {
                return;
            }
            if (!queue.contains(entry)) {
                continue;
            }
            if (trySend(entry)) {
                queue.remove(entry);
            } else {
                failed++;
            }
        }
    }

    /** Tries to send a request; one that throws is removed, so that it does not block the others. */
    private boolean trySend(Entry entry) {
        try {
            return entry.waiter().trySend();
        } catch (RuntimeException e) {
            queue.remove(entry);
            throw e;
        }
    }

    private void expire() {
        long now = timers.nowMillis();
        for (Entry entry : List.copyOf(queue)) {
            if (now >= entry.expiresAt() && queue.remove(entry)) {
                entry.waiter().onExpired();
            }
        }
    }
}
