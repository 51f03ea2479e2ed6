package org.siskinlead.core.time;

/** Provides the time and schedules tasks on the decision thread. */
public interface Timers {
    /**
     * Gets monotonic time, which continues while the process is paused.
     * @return milliseconds since an arbitrary origin
     */
    long nowMillis();

    /**
     * Gets wall-clock time.
     * @return milliseconds since the Unix epoch
     */
    long wallMillis();

    /**
     * Runs a task once after a delay.
     * @param delayMillis delay in milliseconds
     * @param task task to run on the decision thread
     * @return handle that cancels the task
     */
    Timer after(long delayMillis, Runnable task);

    /**
     * Runs a task periodically, the first time after one period. An exception of the task does not end the repetition.
     * @param periodMillis period in milliseconds
     * @param task task to run on the decision thread
     */
    default void every(long periodMillis, Runnable task) {
        after(periodMillis, () -> {
            every(periodMillis, task);
            task.run();
        });
    }
}
