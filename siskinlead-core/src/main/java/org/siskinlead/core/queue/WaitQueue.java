package org.siskinlead.core.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.time.Timers;

/**
 * Bounded queue of requests, ordered by priority plus a bonus for the time waited. When it is full, the request that
 * ranks lowest is shed.
 */
public final class WaitQueue {
    /** Waiting time that counts as much as one step of priority, in milliseconds. */
    public static final long AGEING_MS_PER_PRIORITY_STEP = 250;

    private final Timers timers;
    private final int capacity;
    private final List<Waiter> waiters = new ArrayList<>();

    private WaitQueue(Timers timers, int capacity) {
        this.timers = timers;
        this.capacity = capacity;
    }

    /**
     * Creates an empty queue.
     * @param timers clock and scheduler
     * @param capacity maximum number of waiting requests
     * @return the queue
     */
    public static WaitQueue of(Timers timers, int capacity) {
        return new WaitQueue(timers, capacity);
    }

    /** Receives the end of a wait. Exactly one method is called, once. */
    public interface Callback {
        /** Handles a grant: the request may proceed. */
        void granted();

        /** Handles the end of the maximum wait. */
        void timedOut();

        /** Handles the removal of the request from a full queue. */
        void shed();
    }

    /**
     * Counts the waiting requests.
     * @return number of requests
     */
    public int size() {
        return waiters.size();
    }

    /**
     * Adds a request to the queue.
     * @param priority priority, higher first
     * @param maxWaitMillis maximum wait in milliseconds
     * @param callback receives the end of the wait
     */
    public void add(int priority, long maxWaitMillis, Callback callback) {
        Waiter waiter = new Waiter(priority, timers.nowMillis(), callback);
        waiters.add(waiter);
        waiter.timer = timers.after(maxWaitMillis, () -> timeOut(waiter));
        if (waiters.size() > capacity) {
            shedLowest();
        }
    }

    /**
     * Grants waiting requests, highest rank first, while capacity is available.
     * @param take takes the capacity for one request; returns false when there is none
     */
    public void grantWhile(BooleanSupplier take) {
        while (!waiters.isEmpty() && take.getAsBoolean()) {
            Waiter next = highest();
            remove(next);
            next.callback.granted();
        }
    }

    private void timeOut(Waiter waiter) {
        if (waiters.remove(waiter)) {
            waiter.callback.timedOut();
        }
    }

    private void shedLowest() {
        long now = timers.nowMillis();
        Waiter lowest = waiters.get(waiters.size() - 1);
        for (Waiter waiter : waiters) {
            lowest = waiter.effectivePriority(now) < lowest.effectivePriority(now) ? waiter : lowest;
        }
        remove(lowest);
        lowest.callback.shed();
    }

    private Waiter highest() {
        long now = timers.nowMillis();
        Waiter highest = waiters.get(0);
        for (Waiter waiter : waiters) {
            highest = waiter.effectivePriority(now) > highest.effectivePriority(now) ? waiter : highest;
        }
        return highest;
    }

    private void remove(Waiter waiter) {
        waiters.remove(waiter);
        waiter.timer.cancel();
    }

    private static final class Waiter {
        private final int priority;
        private final long enqueuedAt;
        private final Callback callback;
        private Timer timer = () -> {};

        Waiter(int priority, long enqueuedAt, Callback callback) {
            this.priority = priority;
            this.enqueuedAt = enqueuedAt;
            this.callback = callback;
        }

        double effectivePriority(long now) {
            return priority + (double) (now - enqueuedAt) / AGEING_MS_PER_PRIORITY_STEP;
        }
    }
}
