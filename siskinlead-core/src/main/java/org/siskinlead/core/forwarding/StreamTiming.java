package org.siskinlead.core.forwarding;

import org.siskinlead.core.time.Timers;

/** Times of a stream's events: its usual gap, its longest pause, and whether the next event is overdue. */
final class StreamTiming {
    /** Pause, in usual gaps between events, at which a stream counts as late among others. */
    private static final double LATE_GAP_FACTOR = 1.4;
    /** Shortest such pause, in milliseconds; half of the streams never pause so long. */
    private static final long MIN_LATE_MS = 65;
    /** Pause, in usual gaps between events, at which a stream alone makes its path suspect. */
    private static final double STALLED_GAP_FACTOR = 2.4;
    /** Shortest such pause, in milliseconds; ninety-nine in a hundred streams never pause so long. */
    private static final long MIN_STALLED_MS = 115;
    /** Age of the last event up to which a stream proves its path alive, in milliseconds. */
    private static final long MAX_FLOWING_PAUSE_MS = 45;
    /** Wait for the first event that makes a path suspect, in milliseconds. */
    private static final long FIRST_EVENT_TIMEOUT_MS = 400;

    private static final double MOVING_AVERAGE_WEIGHT = 0.2;
    private static final double INITIAL_GAP_MS = 60;

    private final Timers timers;
    private final long receivedAt;
    private boolean awaitingFirstEvent;
    private long lastProgressAt;
    private double averageGapMillis = INITIAL_GAP_MS;
    private long lastDeliveryAt;
    private long longestPauseMillis;
    private long firstEventMillis = -1;

    /** How a stream does by its own rhythm. */
    enum Status {
        /** An event came just now: every target on its path is alive. */
        FLOWING,
        /** Nothing to conclude. */
        UNKNOWN,
        /** An event is overdue, by a little; several such streams make what they share suspect. */
        LATE,
        /** An event is overdue by so much that this stream alone makes its path suspect. */
        STALLED
    }

    StreamTiming(Timers timers, long receivedAt) {
        this.timers = timers;
        this.receivedAt = receivedAt;
        this.lastProgressAt = timers.nowMillis();
    }

    // Queries

    Status status() {
        long pause = timers.nowMillis() - lastProgressAt;
        if (awaitingFirstEvent) {
            return pause > FIRST_EVENT_TIMEOUT_MS ? Status.STALLED : Status.UNKNOWN;
        }
        if (pause > Math.max(MIN_STALLED_MS, Math.round(STALLED_GAP_FACTOR * averageGapMillis))) {
            return Status.STALLED;
        }
        if (pause > Math.max(MIN_LATE_MS, Math.round(LATE_GAP_FACTOR * averageGapMillis))) {
            return Status.LATE;
        }
        return pause < MAX_FLOWING_PAUSE_MS ? Status.FLOWING : Status.UNKNOWN;
    }

    /** Gets the time from the request to the first event, in milliseconds; -1 before it. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    /** Gets the longest pause between two deliveries, in milliseconds. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    // Commands

    void onSent() {
        awaitingFirstEvent = true;
        lastProgressAt = timers.nowMillis();
    }

    /**
     * Takes note of events.
     * @param events number of events that came together
     * @return time since the send when these are the first events of it, -1 otherwise
     */
    long onEvents(long events) {
        long now = timers.nowMillis();
        if (firstEventMillis < 0) {
            firstEventMillis = now - receivedAt;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, now - lastDeliveryAt);
        }
        lastDeliveryAt = now;
        long sinceSendMillis = awaitingFirstEvent ? now - lastProgressAt : -1;
        if (!awaitingFirstEvent && events > 0) {
            averageGapMillis += MOVING_AVERAGE_WEIGHT * ((now - lastProgressAt) / (double) events - averageGapMillis);
        }
        awaitingFirstEvent = false;
        lastProgressAt = now;
        return sinceSendMillis;
    }

    /** Takes note that this daemon itself stood still, so that the pause is not the targets'. */
    void discountPause() {
        lastProgressAt = timers.nowMillis();
    }
}
