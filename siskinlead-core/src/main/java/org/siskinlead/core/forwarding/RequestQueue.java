package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.siskinlead.core.time.Timers;

/** Requests that wait for room, the most urgent first and the oldest first among equals. */
final class RequestQueue {
    private static final long TICK_MS = 10;
    /** Requests that find no room before the rest of the line is not asked. */
    private static final int MAX_FAILED_SENDS_PER_TICK = 4;
    /** Requests that may wait before any have left. */
    private static final int MIN_LENGTH_LIMIT = 8;

    private static final long RATE_WINDOW_MS = 1_000;

    private final Timers timers;
    private boolean ticking;
    private long windowStartedAt;
    private int sentInWindow;
    private int sentInPreviousWindow;

    /** A request that waits. */
    interface Waiter {
        /** Rank, 0 is served first. */
        int priority();

        /** Tries to send the request; returns false when there is still no room. */
        boolean trySend();

        /** Runs when the wait is over without room. */
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

    /** Tells whether one more request would wait longer than is of use, by the rate at which requests leave. */
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

    /** Takes note that a request found room, in the line or without waiting. */
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

    /** Tries to send a request; one that fails with a fault leaves the line, so that it does not hold up the others. */
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
