package org.siskinlead.core.forwarding;

import org.siskinlead.core.time.Timers;

/** Tracks the event times of a stream: average gap, longest pause, and whether the next event is overdue. */
final class StreamTiming {
    /** Pause after which a stream is late, in average gaps between its events. */
    private static final double LATE_GAP_FACTOR = 1.4;
    /** Lower bound of that pause; half of the streams never pause so long. */
    private static final long MIN_LATE_MS = 65;
    /** Pause after which a stream is stalled, in average gaps between its events. */
    private static final double STALLED_GAP_FACTOR = 2.4;
    /** Lower bound of that pause; 99 % of streams never pause so long. */
    private static final long MIN_STALLED_MS = 115;
    /** Age of the last event up to which it shows that the whole path is alive. */
    private static final long MAX_FLOWING_PAUSE_MS = 45;
    /** Wait for the first event after which a stream is stalled. */
    private static final long FIRST_EVENT_TIMEOUT_MS = 400;

    /**
     * Part of the pause after which callers leave from which on a stream is stuck even if every target on its path answers
     * probes; the rest is left to another target for its first event.
     */
    private static final double STUCK_PATIENCE_FRACTION = 0.5;
    /** Lower bound of that pause for a stream that is slow but makes progress, in average gaps between its events. */
    private static final double STUCK_GAP_FACTOR = 3;

    private static final double MOVING_AVERAGE_WEIGHT = 0.2;
    private static final double INITIAL_GAP_MS = 60;

    private final Timers timers;
    private final long receivedAt;
    private boolean awaitingFirstEvent;
    private long writingSince = -1;
    private long lastProgressAt;
    private double averageGapMillis = INITIAL_GAP_MS;
    private long lastDeliveryAt;
    private long longestPauseMillis;
    private long firstEventMillis = -1;

    /** Progress of a stream compared with its average gap between events. */
    enum Status {
        /** An event has just arrived: every target on the path is alive. */
        FLOWING,
        /** No conclusion is possible. */
        UNKNOWN,
        /** An event is slightly overdue; the paths become suspect when several streams are late at once. */
        LATE,
        /** An event is so overdue that this stream alone makes its path suspect. */
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

    /**
     * Tells whether a stream that has begun makes no progress any more and must be resumed before its caller leaves; one that
     * was always slow is given more time.
     * @param callerPatienceMillis pause between events after which the caller leaves, in milliseconds
     */
    boolean isStuck(long callerPatienceMillis) {
        long pause = timers.nowMillis() - lastProgressAt;
        return !awaitingFirstEvent
                && pause
                        > Math.max(STUCK_PATIENCE_FRACTION * callerPatienceMillis, STUCK_GAP_FACTOR * averageGapMillis);
    }

    /** Tells whether events of the current attempt have arrived for longer than a time. */
    boolean hasWrittenFor(long millis) {
        return writingSince >= 0 && timers.nowMillis() - writingSince >= millis;
    }

    /** Gets the average gap between events, in milliseconds. */
    double averageGapMillis() {
        return averageGapMillis;
    }

    /** Gets the time from receipt of the request to the first event; -1 before that event. */
    long firstEventMillis() {
        return firstEventMillis;
    }

    /** Gets the time since events were last delivered, in milliseconds; at first, since the request was received. */
    long sinceDeliveryMillis() {
        return timers.nowMillis() - (firstEventMillis < 0 ? receivedAt : lastDeliveryAt);
    }

    /** Gets the longest pause between two deliveries of events. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    // Commands

    void onSent() {
        awaitingFirstEvent = true;
        writingSince = -1;
        lastProgressAt = timers.nowMillis();
    }

    /**
     * Records a delivery of events.
     * @param events number of events delivered together
     * @return milliseconds since the last send when these are its first events, -1 otherwise
     */
    long onEvents(long events) {
        long now = timers.nowMillis();
        if (firstEventMillis < 0) {
            firstEventMillis = now - receivedAt;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, now - lastDeliveryAt);
        }
        lastDeliveryAt = now;
        writingSince = writingSince < 0 ? now : writingSince;
        long sinceSendMillis = awaitingFirstEvent ? now - lastProgressAt : -1;
        if (!awaitingFirstEvent && events > 0) {
            averageGapMillis += MOVING_AVERAGE_WEIGHT * ((now - lastProgressAt) / (double) events - averageGapMillis);
        }
        awaitingFirstEvent = false;
        lastProgressAt = now;
        return sinceSendMillis;
    }

    /** Records that the stream goes on with an earlier send, so that its next events are not the first ones. */
    void onContinued() {
        awaitingFirstEvent = firstEventMillis < 0;
    }

    /** Excludes a pause of this process from the timing, so that no target is suspected for it. */
    void discountPause() {
        lastProgressAt = timers.nowMillis();
    }
}
