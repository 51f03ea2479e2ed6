package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.siskinlead.core.time.Timers;

/**
 * Queue of requests that wait for target capacity, by priority and then by the time that each has left. A request waits
 * only while an answer can still be of use to its caller, and while the rate of sends lets it expect its turn by then.
 */
final class RequestQueue {
    private static final long TICK_MS = 10;
    /** Failed sends of one priority in one tick after which the others of that priority are skipped until the next one. */
    private static final int MAX_FAILED_SENDS_PER_TICK = 4;

    private static final long RATE_WINDOW_MS = 1_000;

    private final Timers timers;
    private boolean ticking;
    private long waitingSince;
    private long lastSentAt;
    private long windowStartedAt;
    private int sentInWindow;
    private int sentInPreviousWindow;

    /** A queued request. */
    interface Waiter {
        /** Gets the priority, 0 is served first. */
        int priority();

        /** Gets the last time at which a send is of use to the caller, in milliseconds of the monotonic clock. */
        long latestSendAt();

        /** Tries to send the request; returns false when no target has capacity. */
        boolean trySend();

        /** Runs when the request has been removed because it cannot be sent in time. */
        void onExpired();
    }

    /** A waiter with its place, which is fixed until the queue is sorted again. */
    private record Entry(Waiter waiter, int priority, long latestSendAt) {
        /** The comparators of the JDK's factory methods cannot be archived and are generated at each start. */
        private static final Comparator<Entry> ORDER = (a, b) -> a.priority() == b.priority()
                ? Long.compare(a.latestSendAt(), b.latestSendAt())
                : Integer.compare(a.priority(), b.priority());

        static Entry of(Waiter waiter) {
            return new Entry(waiter, waiter.priority(), waiter.latestSendAt());
        }
    }

    private List<Entry> queue = new ArrayList<>();

    RequestQueue(Timers timers) {
        this.timers = timers;
    }

    // Queries

    int length() {
        return queue.size();
    }

    /** Counts the queued requests that are served before a request. */
    int lengthAhead(Waiter waiter) {
        Entry entry = Entry.of(waiter);
        return (int)
                queue.stream().filter(e -> Entry.ORDER.compare(e, entry) <= 0).count();
    }

    /** Tells whether a request that joins the queue now can expect to be sent while that is of use to its caller. */
    boolean expectsSendInTime(Waiter waiter) {
        return expectsSendInTime(waiter.latestSendAt(), lengthAhead(waiter));
    }

    /** Estimates the time until a number of requests have been sent, in milliseconds, from the rate of sends. */
    long expectedMillis(int sends) {
        double perMillis = sendsPerMillis();
        return perMillis > 0 ? Math.round(sends / perMillis) : 0;
    }

    private boolean expectsSendInTime(long latestSendAt, int ahead) {
        return timers.nowMillis() + expectedMillis(ahead) <= latestSendAt;
    }

    /** Gets the rate of sends, which is lower than one in the time for which requests have waited without any. */
    private double sendsPerMillis() {
        long now = timers.nowMillis();
        long age = now - windowStartedAt;
        int sent = age < RATE_WINDOW_MS
                ? Math.max(sentInWindow, sentInPreviousWindow)
                : age < 2 * RATE_WINDOW_MS ? sentInWindow : 0;
        long withoutSend = queue.isEmpty() ? 0 : now - Math.max(lastSentAt, waitingSince);
        double atMost = withoutSend > 0 ? 1.0 / withoutSend : Double.POSITIVE_INFINITY;
        return Math.max(sent / (double) RATE_WINDOW_MS, atMost);
    }

    // Commands

    void add(Waiter waiter) {
        if (queue.isEmpty()) {
            waitingSince = timers.nowMillis();
        }
        queue.add(Entry.of(waiter));
        queue.sort(Entry.ORDER);
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
        lastSentAt = now;
    }

    private void tick() {
        try {
            // The time that a request needs to be answered changes with what is observed of the targets.
            queue = new ArrayList<>(queue.stream()
                    .map(e -> Entry.of(e.waiter()))
                    .sorted(Entry.ORDER)
                    .toList());
            expire();
            serve();
        } finally {
            ticking = !queue.isEmpty();
            if (ticking) {
                timers.after(TICK_MS, this::tick);
            }
        }
    }

    private void expire() {
        int ahead = 0;
        for (Entry entry : List.copyOf(queue)) {
            if (expectsSendInTime(entry.latestSendAt(), ahead)) {
                ahead++;
            } else if (queue.remove(entry)) {
                entry.waiter().onExpired();
            }
        }
    }

    private void serve() {
        int failed = 0;
        int priority = Integer.MIN_VALUE;
        for (Entry entry : List.copyOf(queue)) {
            failed = entry.priority() == priority ? failed : 0;
            priority = entry.priority();
            if (failed >= MAX_FAILED_SENDS_PER_TICK || !queue.contains(entry)) {
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
}
