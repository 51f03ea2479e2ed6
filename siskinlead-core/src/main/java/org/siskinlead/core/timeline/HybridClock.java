package org.siskinlead.core.timeline;

import java.util.function.LongSupplier;

/** Hybrid logical clock, whose readings respect causality across daemons. */
public final class HybridClock {
    private final LongSupplier wallClock;
    private HybridTime last = new HybridTime(0, 0);

    private HybridClock(LongSupplier wallClock) {
        this.wallClock = wallClock;
    }

    /**
     * Creates a clock.
     * @param wallClock supplies milliseconds since the Unix epoch
     * @return a clock whose readings only increase
     */
    public static HybridClock of(LongSupplier wallClock) {
        return new HybridClock(wallClock);
    }

    /**
     * Advances the clock for a local event or a message sent.
     * @return a reading later than all earlier ones
     */
    public HybridTime tick() {
        long now = wallClock.getAsLong();
        last = now > last.wallMillis() ? new HybridTime(now, 0) : new HybridTime(last.wallMillis(), last.counter() + 1);
        return last;
    }

    /**
     * Advances the clock past a reading received from another daemon.
     * @param remote reading in the received message
     */
    public void observe(HybridTime remote) {
        if (remote.compareTo(last) > 0) {
            last = remote;
        }
    }
}
