package org.siskinlead.core.serving;

/**
 * An honest refusal.
 * @param code why
 * @param outcome what is known of the work
 * @param detail explanation for the caller
 * @param retryAfterMillis when to come back, in milliseconds; 0 when coming back does not help
 */
public record Refusal(RefusalCode code, RequestOutcome outcome, String detail, long retryAfterMillis) {
    /**
     * Creates a refusal of a request of which nothing ran.
     * @param code why
     * @param detail explanation
     * @param retryAfterMillis when to come back, in milliseconds
     * @return the refusal
     */
    public static Refusal notRun(RefusalCode code, String detail, long retryAfterMillis) {
        return new Refusal(code, RequestOutcome.NOT_RUN, detail, retryAfterMillis);
    }

    /**
     * Creates a refusal of a request of which some work may have run.
     * @param code why
     * @param detail explanation
     * @param retryAfterMillis when to come back, in milliseconds
     * @return the refusal
     */
    public static Refusal failed(RefusalCode code, String detail, long retryAfterMillis) {
        return new Refusal(code, RequestOutcome.FAILED, detail, retryAfterMillis);
    }

    /**
     * Makes this refusal speak for an idempotency key of which nothing was looked up. The call itself did not run, but one
     * with its key may have run before, through another daemon.
     * @param key idempotency key of the call, empty when it has none
     * @return this refusal, with an unknown outcome where it said that nothing ran and there is a key
     */
    public Refusal withIdempotencyKey(String key) {
        boolean mayHaveRunBefore = !key.isEmpty() && outcome == RequestOutcome.NOT_RUN;
        return mayHaveRunBefore ? new Refusal(code, RequestOutcome.UNKNOWN, detail, retryAfterMillis) : this;
    }

    /**
     * Creates a refusal of a request that may have run once and will not be sent again.
     * @param detail explanation
     * @return the refusal
     */
    public static Refusal unknown(String detail) {
        return new Refusal(RefusalCode.OUTCOME_UNKNOWN, RequestOutcome.UNKNOWN, detail, 0);
    }
}
