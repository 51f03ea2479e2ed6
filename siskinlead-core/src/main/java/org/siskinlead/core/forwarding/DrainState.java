package org.siskinlead.core.forwarding;

import org.siskinlead.core.time.Timers;

/** Tells whether this daemon is draining, since when, and for how long its requests may still run. */
final class DrainState {
    /** Time given for something that has not begun. */
    static final long NOT_DRAINING = -1;

    private final Timers timers;
    private long begunAt;
    private long endsAt = Long.MAX_VALUE;

    private DrainState(Timers timers) {
        this.timers = timers;
    }

    static DrainState of(Timers timers) {
        return new DrainState(timers);
    }

    boolean isDraining() {
        return endsAt != Long.MAX_VALUE;
    }

    /** Gets the time since the drain began, in milliseconds; {@link #NOT_DRAINING} before. */
    long sinceBeginMillis() {
        return isDraining() ? timers.nowMillis() - begunAt : NOT_DRAINING;
    }

    /** Gets the time until this daemon ends what still runs, in milliseconds; {@link #NOT_DRAINING} before. */
    long leftMillis() {
        return isDraining() ? Math.max(0, endsAt - timers.nowMillis()) : NOT_DRAINING;
    }

    /** Drains until the given time, in milliseconds of the monotonic clock. */
    void drainUntil(long monotonicMillis) {
        if (!isDraining()) {
            begunAt = timers.nowMillis();
        }
        endsAt = monotonicMillis;
    }
}
