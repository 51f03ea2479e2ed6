package org.siskinlead.core.invariant;

import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** Asserts what must always hold, in every run. */
public final class Invariants {
    /** What to do on a violation besides recording it. */
    public enum Mode {
        /** Go on; the caller refuses the one request. */
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
     * @param mode what to do on a violation
     * @return the checks
     */
    public static Invariants of(Timeline timeline, Mode mode) {
        return new Invariants(timeline, mode);
    }

    /**
     * Asserts a condition.
     * @param condition the condition
     * @param name name of the invariant
     * @param detail values that explain a violation
     * @return the condition
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
     * @return number of checks
     */
    public long checked() {
        return checked;
    }

    /**
     * Counts the violations found.
     * @return number of violations
     */
    public long violated() {
        return violated;
    }
}
