package org.siskinlead.core.time;

/** Handle of a scheduled task. */
public interface Timer {
    /** Cancels the task if it has not run yet. */
    void cancel();
}
