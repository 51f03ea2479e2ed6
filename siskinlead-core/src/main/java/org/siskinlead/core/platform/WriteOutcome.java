package org.siskinlead.core.platform;

/** Outcome of a compare-and-swap, as far as it is known. */
public enum WriteOutcome {
    /** The write took effect. */
    WRITTEN,
    /** The key was at another version; the write did not take effect. */
    CONFLICT,
    /** No answer; the write may have taken effect, or may still do so. */
    UNKNOWN
}
