package org.siskinlead.core.invariant;

import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** Checks conditions that must always hold, in production as in tests. */
public final class Invariants {
    /** Action on a violation besides recording it. */
    public enum Mode {
        /** Continue; the caller rejects only the affected request. */
        RECORD,
        /** Throw, so that a test fails. */
        THROW
    }

    private final Timeline timeline;
    private final Mode mode;
    private long checked;
    private long violated;

    private Invariants(Timeline timeline, Mode mode) {
        this.timeline = timeline;
        this.mode = mode;
    }

    /**
     * Creates the checks of one daemon.
     * @param timeline where violations are recorded
     * @param mode action on a violation
     * @return the checks, with both counts at zero
     */
    public static Invariants of(Timeline timeline, Mode mode) {
        return new Invariants(timeline, mode);
    }

    /**
     * Checks a condition.
     * @param condition false for a violation
     * @param name name of the invariant, as counted and recorded
     * @param detail values that explain a violation
     * @return the condition
     * @throws AssertionError when the condition is false and the mode is {@code THROW}
     */
    public boolean check(boolean condition, String name, Object detail) {
        checked++;
        if (!condition) {
            violated++;
            timeline.record(EventKind.INVARIANT_VIOLATED, "invariant", name, "detail", detail);
            if (mode == Mode.THROW) {
                throw new AssertionError(name + ": " + detail);
            }
        }
        return condition;
    }

    /**
     * Counts the checks made.
     * @return number of checks since the start
     */
    public long checked() {
        return checked;
    }

    /**
     * Counts the violations found.
     * @return number of violations since the start
     */
    public long violated() {
        return violated;
    }
}
