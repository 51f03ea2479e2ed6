package org.siskinlead.core.pacing;

/** Limit on the requests of this daemon that a target may run at once. */
public interface Pace {
    /** No limit, for targets that are in regular use. */
    Pace UNLIMITED = new Pace() {};

    /**
     * Checks whether the target may get another request of this daemon.
     * @param inFlight requests of this daemon that run on the target, as any hop of their paths
     * @return true if the request stays within the limit
     */
    default boolean admits(int inFlight) {
        return true;
    }

    /**
     * Checks whether the target is still paced.
     * @return false once the limit has ended
     */
    default boolean isLimiting() {
        return false;
    }

    /**
     * Gets the part of its capacity that the target may be given by all daemons together.
     * @return a fraction above 0 and at most 1
     */
    default double capacityFraction() {
        return 1;
    }

    /**
     * Records that a request was sent on a path through the target.
     * @param exchange identifies the send in later calls
     * @param objectiveMillis the caller's objective for the time to the first part of the answer, in milliseconds
     */
    default void onSent(Object exchange, long objectiveMillis) {}

    /**
     * Records the first part of the answer to a request.
     * @param exchange the send
     */
    default void onAnswered(Object exchange) {}

    /**
     * Records the end of a request, with or without an answer.
     * @param exchange the send
     */
    default void onEnded(Object exchange) {}

    /** Records that the target refused or failed a request. */
    default void onRefused() {}
}
