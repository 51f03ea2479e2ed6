package org.siskinlead.core.serving;

/** Stable codes of refusals, with their HTTP status (RFC 9110 and RFC 6585). */
public enum RefusalCode {
    BAD_REQUEST(400),
    NO_CREDENTIAL(401),
    NOT_ALLOWED(403),
    UNKNOWN_MODEL(404),
    /** There is no such resource, or the call could not be sent to any VM of the service. */
    UNKNOWN_SERVICE(404),
    UNKNOWN_ROUTE(404),
    KEY_IN_PROGRESS(409),
    KEY_MISMATCH(422),
    LIMIT_REACHED(429),
    /** The queue of requests that wait for the team's limit or for a target is full. */
    QUEUE_FULL(429),
    /** Nothing ran, for lack of capacity or of a usable target. */
    OVERLOADED(503),
    /** This daemon holds no valid quorum lease, so it must not start requests. */
    NOT_IN_STANDING(503),
    CONFIGURATION_UNKNOWN(503),
    DRAINING(503),
    /** No targets cover all layers of the model, or the service is not configured. */
    NO_CHAIN(503),
    /** The record of an idempotency key could be neither read nor written. */
    KEY_RECORD_UNAVAILABLE(503),
    DEADLINE_EXCEEDED(504),
    /** All permitted attempts failed; unlike {@link #OUTCOME_UNKNOWN}, the request may be sent again. */
    TARGETS_FAILED(502),
    /** Targets crashed while they ran this request, so it is not sent to others until the suspicion expires. */
    TARGET_CRASHES(502),
    /** Requests with a part of this one's prompt crash their targets, so nothing was sent. */
    PROMPT_PART_BLOCKED(503),
    /** This daemon lost its quorum lease while the request ran. */
    STANDING_LOST(503),
    OUTCOME_UNKNOWN(502),
    INVARIANT_VIOLATED(500);

    private final int status;

    RefusalCode(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status.
     * @return the status
     */
    public int status() {
        return status;
    }
}
