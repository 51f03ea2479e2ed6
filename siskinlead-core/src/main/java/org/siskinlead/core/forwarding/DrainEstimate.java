package org.siskinlead.core.forwarding;

/**
 * Judgement of a draining daemon whether a request ends in time.
 * @param maxDurationMillis longest duration expected of the request, in milliseconds
 * @param basis what the duration was derived from
 * @param sinceBeginMillis time since the drain began, in milliseconds
 * @param leftMillis time until this daemon ends what still runs, in milliseconds
 */
record DrainEstimate(long maxDurationMillis, Basis basis, long sinceBeginMillis, long leftMillis) {
    /** Source of an estimated duration. */
    enum Basis {
        /** Pace of recent streams of the service. */
        PACE,
        /** Longest gap between events for which a stream is on time. */
        OBJECTIVE,
        /** Timeout of the route. */
        TIMEOUT
    }

    boolean endsInTime() {
        return maxDurationMillis <= leftMillis;
    }
}
