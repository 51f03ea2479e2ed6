package org.siskinlead.core.fakes;

import org.siskinlead.core.time.Timer;
import org.siskinlead.core.time.Timers;

/** Virtual time that a test advances; the wall clock can jump and the machine can be suspended. */
public final class ManualTimers implements Timers {
    private static final long INITIAL_WALL_MS = 1_000_000;

    private final VirtualTime time = new VirtualTime();
    private long wallOffsetMillis = INITIAL_WALL_MS;

    @Override
    public long nowMillis() {
        return time.now();
    }

    @Override
    public long wallMillis() {
        return time.now() + wallOffsetMillis;
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
        boolean[] cancelled = new boolean[1];
        time.after(delayMillis, () -> {
            if (!cancelled[0]) {
                task.run();
            }
        });
        return () -> cancelled[0] = true;
    }

    public void advance(long millis) {
        time.runUntil(time.now() + millis);
    }

    /** Moves the wall clock without moving monotonic time. */
    public void jumpWallClock(long millis) {
        wallOffsetMillis += millis;
    }

    /** Suspends the machine: the wall clock advances, monotonic time does not. */
    public void suspend(long millis) {
        wallOffsetMillis += millis;
    }
}
