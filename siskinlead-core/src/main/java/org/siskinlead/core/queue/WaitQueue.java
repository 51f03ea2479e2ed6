package org.siskinlead.core.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.time.Timers;

/** Requests that wait for something, in order of priority raised by waiting. When full, the lowest gives way. */
public final class WaitQueue {
    /** Waiting that counts as much as one step of priority. */
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
     * @param timers time
     * @param capacity most requests that may wait
     * @return the queue
     */
    public static WaitQueue of(Timers timers, int capacity) {
        return new WaitQueue(timers, capacity);
    }

    /** What to do when a wait ends. */
    public interface Callback {
        /** Runs when the request has what it waited for. */
        void granted();

        /** Runs when it waited as long as it may. */
        void timedOut();

        /** Runs when it had to give way because the queue is full. */
        void shed();
    }

    /**
     * Counts the requests that wait.
     * @return number of requests
     */
    public int size() {
        return waiters.size();
    }

    /**
     * Lets a request wait.
     * @param priority priority, higher first
     * @param maxWaitMillis longest wait in milliseconds
     * @param outcome what to do when the wait ends
     */
    public void add(int priority, long maxWaitMillis, Callback outcome) {
        Waiter waiter = new Waiter(priority, timers.nowMillis(), outcome);
        waiters.add(waiter);
        waiter.timer = timers.after(maxWaitMillis, () -> timeOut(waiter));
        if (waiters.size() > capacity) {
            shedLowest();
        }
    }

    /**
     * Grants waiting requests, highest first, while there is something to grant.
     * @param take takes what one request needs; false when there is none
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

        Waiter(int priority, long since, Callback outcome) {
            this.priority = priority;
            this.enqueuedAt = since;
            this.callback = outcome;
        }

        double effectivePriority(long now) {
            return priority + (double) (now - enqueuedAt) / AGEING_MS_PER_PRIORITY_STEP;
        }
    }
}
