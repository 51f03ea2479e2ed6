package org.siskinlead.core.forwarding;

/** Ways in which a forwarded request ends. */
enum Ending {
    /** The caller got a target's complete answer, of whatever status. */
    ANSWERED,
    /** The caller was told that no target ran the request. */
    NOT_RUN,
    CALLER_LEFT,
    /** This daemon closed the connection of the caller. */
    CONNECTION_CLOSED,
    /** The target or its path failed, and no other one could go on. */
    TARGETS_FAILED,
    /** The time of the caller or of the route was used up. */
    TIMED_OUT,
    /** The caller read so slowly that too much was buffered. */
    READER_SLOW,
    /** The request was suspected of crashing its targets. */
    SUSPECTED,
    /** This daemon stopped before the request ended. */
    DAEMON_STOPPED;

    /** Tells whether the caller is left without an answer although it waited for it and a target may have run the request. */
    boolean isCut() {
        return switch (this) {
            case ANSWERED, NOT_RUN, CALLER_LEFT -> false;
            case CONNECTION_CLOSED, TARGETS_FAILED, TIMED_OUT, READER_SLOW, SUSPECTED, DAEMON_STOPPED -> true;
        };
    }
}
