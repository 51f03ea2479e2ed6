package org.siskinlead.core.retrybudget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;
import org.siskinlead.core.time.Timers;

/**
 * Number of daemons that share a budget. A decrease counts only after some time: what daemons have used that ended, or
 * that are only partitioned, has then left the window.
 */
final class FleetSize {
    private final IntSupplier daemonCount;
    private final Timers timers;
    private final long holdMillis;
    /** Largest counts, in decreasing order, with the times at which they were last seen. */
    private final Deque<Seen> seen = new ArrayDeque<>();

    private record Seen(int count, long at) {}

    private FleetSize(IntSupplier daemonCount, Timers timers, long holdMillis) {
        this.daemonCount = daemonCount;
        this.timers = timers;
        this.holdMillis = holdMillis;
    }

    static FleetSize of(IntSupplier daemonCount, Timers timers, long holdMillis) {
        return new FleetSize(daemonCount, timers, holdMillis);
    }

    /** Gets the largest number of daemons seen within the hold time, at least 1. */
    int largest() {
        long now = timers.nowMillis();
        int count = Math.max(1, daemonCount.getAsInt());
        while (!seen.isEmpty() && seen.peekLast().count() <= count) {
            seen.removeLast();
        }
        seen.addLast(new Seen(count, now));
        while (seen.peekFirst().at() < now - holdMillis) {
            seen.removeFirst();
        }
        return seen.peekFirst().count();
    }
}
