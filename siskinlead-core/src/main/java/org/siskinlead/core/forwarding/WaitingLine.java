package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.siskinlead.core.time.Timers;

/** Requests that wait for room, the most urgent first and the oldest first among equals. */
final class WaitingLine {
    private static final long TICK_MS = 10;
    /** Requests that find no room before the rest of the line is not asked. */
    private static final int MAX_FAILED_TRIES = 4;
    /** Requests that may wait before any have left. */
    private static final int LEAST_LENGTH = 8;

    private static final long RATE_WINDOW_MS = 1_000;

    private final Timers timers;
    private boolean ticking;
    private long windowBegan;
    private int leftInWindow;
    private int leftInLastWindow;

    /** A request that waits. */
    interface Waiter {
        /** Rank, 0 is served first. */
        int priority();

        /** Tries to send the request; returns false when there is still no room. */
        boolean trySend();

        /** Runs when the wait is over without room. */
        void onExpired();
    }

    private record Entry(Waiter waiter, int priority, long since, long until) {}

    private final List<Entry> line = new ArrayList<>();

    WaitingLine(Timers timers) {
        this.timers = timers;
    }

    // Queries

    int length() {
        return line.size();
    }

    /** Tells whether one more request would wait longer than is of use, by the rate at which requests leave. */
    boolean isTooLongFor(long waitMillis) {
        double rate = Math.max(leftInWindow, leftInLastWindow) / (double) RATE_WINDOW_MS;
        return line.size() >= Math.max(LEAST_LENGTH, rate * waitMillis);
    }

    // Commands

    void add(Waiter waiter, long waitMillis) {
        long now = timers.nowMillis();
        line.add(new Entry(waiter, waiter.priority(), now, now + waitMillis));
        line.sort(Comparator.comparingInt(Entry::priority).thenComparingLong(Entry::since));
        if (!ticking) {
            ticking = true;
            timers.after(TICK_MS, this::tick);
        }
    }

    void remove(Waiter waiter) {
        line.removeIf(e -> e.waiter() == waiter);
    }

    /** Takes note that a request found room, in the line or without waiting. */
    void onSent() {
        long now = timers.nowMillis();
        if (now - windowBegan >= RATE_WINDOW_MS) {
            leftInLastWindow = now - windowBegan < 2 * RATE_WINDOW_MS ? leftInWindow : 0;
            leftInWindow = 0;
            windowBegan = now;
        }
        leftInWindow++;
    }

    private void tick() {
        try {
            serve();
            expire();
        } finally {
            ticking = !line.isEmpty();
            if (ticking) {
                timers.after(TICK_MS, this::tick);
            }
        }
    }

    private void serve() {
        int failed = 0;
        for (Entry entry : List.copyOf(line)) {
            if (failed >= MAX_FAILED_TRIES) {
                return;
            }
            if (!line.contains(entry)) {
                continue;
            }
            if (trySend(entry)) {
                line.remove(entry);
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
            line.remove(entry);
            throw e;
        }
    }

    private void expire() {
        long now = timers.nowMillis();
        for (Entry entry : List.copyOf(line)) {
            if (now >= entry.until() && line.remove(entry)) {
                entry.waiter().onExpired();
            }
        }
    }
}
