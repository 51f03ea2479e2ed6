package org.siskinlead.core.membership;

/** Result of an attempt to change the head record. */
public enum ChangeOutcome {
    /** The change is stored. */
    STORED,
    /** The change does not apply to the stored head; nothing was stored. */
    CONFLICT,
    /** Nothing was stored before the time-out. */
    NOT_STORED,
    /** A write was sent but not confirmed; it may have been stored. */
    UNKNOWN
}
