package org.siskinlead.core.retrybudget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;
import org.siskinlead.core.time.Timers;

/** Limits the writes by which this daemon claims chunks, in any second, for all services together. */
final class WriteLimiter {
    /**
     * Writes per second of all daemons together, if all claim at once and each renews its lease once. The store takes 1,200,
     * which leaves room for other writes, and for 400 daemons with the least number.
     */
    private static final int FLEET_WRITES_PER_SECOND = 1_000;
    /** Opens a lease and writes one chunk. */
    private static final int MIN_WRITES_PER_SECOND = 2;

    private static final long PERIOD_MS = 1_000;

    private final Timers timers;
    private final IntSupplier daemonCount;
    private final Deque<Long> writes = new ArrayDeque<>();

    WriteLimiter(Timers timers, IntSupplier daemonCount) {
        this.timers = timers;
        this.daemonCount = daemonCount;
    }

    /** Gets the time until a number of further writes will have been allowed, in milliseconds. */
    long millisTo(int count) {
        expire();
        int limit = limit();
        int excess = writes.size() + count - limit;
        if (excess <= 0) {
            return 0;
        }
        int periods = (excess - 1) / limit;
        int inPeriod = excess - periods * limit;
        long first = writes.stream().skip(inPeriod - 1L).findFirst().orElse(timers.nowMillis());
        return Math.max(1, first + (periods + 1) * PERIOD_MS - timers.nowMillis() + 1);
    }

    boolean tryWrite() {
        expire();
        if (writes.size() >= limit()) {
            return false;
        }
        writes.add(timers.nowMillis());
        return true;
    }

    private int limit() {
        return Math.max(MIN_WRITES_PER_SECOND, FLEET_WRITES_PER_SECOND / daemonCount.getAsInt() - 1);
    }

    private void expire() {
        while (!writes.isEmpty() && writes.peek() < timers.nowMillis() - PERIOD_MS) {
            writes.remove();
        }
    }
}
