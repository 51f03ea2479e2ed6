package org.siskinlead.core.configuration;

/**
 * Truthful answer to an operator's change.
 * @param state what became of it
 * @param revision configuration revision, 0 when not stored
 * @param detail explanation
 */
public record UpdateResult(State state, long revision, String detail) {
    /** What became of a change. */
    public enum State {
        /** Stored and confirmed by the witnesses; in force everywhere within the freshness period. */
        ACCEPTED,
        /** Invalid; nothing was stored. */
        REJECTED,
        /** Another change came first; nothing was stored. */
        CONFLICT,
        /** Not stored because the platform's service did not answer. */
        UNAVAILABLE,
        /** Stored or possibly stored, not yet confirmed; the status of the team tells later. */
        UNKNOWN
    }
}
