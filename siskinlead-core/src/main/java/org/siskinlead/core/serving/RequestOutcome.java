package org.siskinlead.core.serving;

/** How a request ended. */
public enum RequestOutcome {
    /** The whole answer was delivered. */
    COMPLETE("complete"),
    /** It is certain that nothing ran, under an idempotency key neither now nor before. */
    NOT_RUN("not-run"),
    /** Some work may have run; the request may be sent again. */
    FAILED("failed"),
    /** Work that may not be repeated may have run, under this request or an earlier one with its key. */
    UNKNOWN("unknown");

    private final String text;

    RequestOutcome(String text) {
        this.text = text;
    }

    /**
     * Gets the name used in problem details.
     * @return the name
     */
    public String text() {
        return text;
    }
}
