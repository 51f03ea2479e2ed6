package org.siskinlead.core.serving;

/** How a request ended. */
public enum RequestOutcome {
    /** The whole answer was delivered. */
    COMPLETE("complete"),
    /** Certainly nothing ran: neither for this request nor for an earlier one with its idempotency key. */
    NOT_RUN("not-run"),
    /** Some work may have run; the request may be sent again. */
    FAILED("failed"),
    /** Work that must not be repeated may have run, for this request or an earlier one with its idempotency key. */
    UNKNOWN("unknown");

    private final String text;

    RequestOutcome(String text) {
        this.text = text;
    }

    /**
     * Returns the name used in problem details (RFC 9457).
     * @return the name
     */
    public String text() {
        return text;
    }
}
