package org.siskinlead.core.forwarding;

import java.util.random.RandomGenerator;

/**
 * Draws the {@code Retry-After} of a refused request: not before room is expected, spread over the time in which room
 * comes, so that the callers refused together do not all return at once, and within the time that the caller has.
 */
final class RetryAfter {
    /** Part of their remaining time up to which callers honour a {@code Retry-After}. */
    private static final double HONOURED_FRACTION = 1.0 / 3;
    /** Shortest time; 0 would mean that a retry does not help. */
    private static final long MIN_MS = 10;
    /** Longest time over which the returns of callers that are refused together are spread. */
    private static final long MAX_SPREAD_MS = 1_000;
    /**
     * Time to ask again when nothing tells when there will be room: what is known of targets that are down, and of layers
     * that are loaded, is renewed about once a second.
     */
    static final long UNKNOWN_ROOM_MS = 1_000;

    private final RandomGenerator random;

    RetryAfter(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Draws a time.
     * @param roomInMillis time until room is expected, in milliseconds
     * @param callerLeftMillis time that the caller has left, in milliseconds
     * @return milliseconds, at most the part of the time left that callers wait for
     */
    long drawMillis(long roomInMillis, long callerLeftMillis) {
        long latest = latestMillis(callerLeftMillis);
        long earliest = Math.max(MIN_MS, roomInMillis);
        if (earliest >= latest) {
            // No room is expected while this caller can wait; it may find some elsewhere.
            return between(Math.max(latest / 2, latest - MAX_SPREAD_MS), latest);
        }
        return between(earliest, Math.min(latest, earliest + Math.min(earliest, MAX_SPREAD_MS)));
    }

    /** Limits a time to what the caller can still wait. */
    static long within(long millis, long callerLeftMillis) {
        return Math.min(millis, latestMillis(callerLeftMillis));
    }

    private static long latestMillis(long callerLeftMillis) {
        return Math.max(1, Math.round(HONOURED_FRACTION * callerLeftMillis));
    }

    private long between(long minMillis, long maxMillis) {
        return minMillis + Math.round(random.nextDouble() * Math.max(0, maxMillis - minMillis));
    }
}
