package org.siskinlead.core.configuration;

/**
 * Result of publishing a template or storing a vote.
 * @param state outcome of the change
 * @param revision configuration revision of the change; 0 when it is not known to be stored
 * @param detail explanation for the operator
 */
public record UpdateResult(State state, long revision, String detail) {
    /** Outcome of a change. */
    public enum State {
        /**
         * Stored and confirmed by a majority of the witnesses; in force everywhere within the quorum lease duration.
         */
        ACCEPTED,
        /** Invalid; nothing was stored. */
        REJECTED,
        /** Another change was stored first; nothing was stored. */
        CONFLICT,
        /** Not stored: the daemon was inactive, or the platform's key-value service did not answer. */
        UNAVAILABLE,
        /** Stored or possibly stored, not yet confirmed; a later query of the team's status shows the outcome. */
        UNKNOWN
    }
}
