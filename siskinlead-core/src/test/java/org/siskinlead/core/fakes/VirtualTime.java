package org.siskinlead.core.fakes;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs tasks in order of virtual time, in milliseconds; tasks for the same time run in the order in which they were
 * scheduled.
 */
public final class VirtualTime {
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMillis).thenComparingLong(ScheduledTask::sequence));
    private long now;
    private long sequence;

    private record ScheduledTask(long atMillis, long sequence, Runnable task) {}

    public long now() {
        return now;
    }

    public void after(long millis, Runnable task) {
        queue.add(new ScheduledTask(now + Math.max(0, millis), sequence++, task));
    }

    public void every(long millis, Runnable task) {
        after(millis, () -> {
            task.run();
            every(millis, task);
        });
    }

    public void runUntil(long end) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= end) {
            ScheduledTask next = queue.remove();
            now = next.atMillis();
            next.task().run();
        }
        now = end;
    }
}
