package org.siskinlead.core.serving;

/**
 * The reason why a request did not complete, and what is known of its work.
 * @param code stable code of the reason
 * @param outcome whether any work ran or may have run
 * @param detail explanation for the caller
 * @param retryAfterMillis delay before a retry, in milliseconds; 0 when a retry does not help
 */
public record Refusal(RefusalCode code, RequestOutcome outcome, String detail, long retryAfterMillis) {
    /**
     * Creates a refusal of a request of which nothing ran.
     * @param code stable code of the reason
     * @param detail explanation for the caller
     * @param retryAfterMillis delay before a retry, in milliseconds; 0 when a retry does not help
     * @return the refusal
     */
    public static Refusal notRun(RefusalCode code, String detail, long retryAfterMillis) {
        return new Refusal(code, RequestOutcome.NOT_RUN, detail, retryAfterMillis);
    }

    /**
     * Creates a refusal of a request of which some work may have run.
     * @param code stable code of the reason
     * @param detail explanation for the caller
     * @param retryAfterMillis delay before a retry, in milliseconds; 0 when a retry does not help
     * @return the refusal
     */
    public static Refusal failed(RefusalCode code, String detail, long retryAfterMillis) {
        return new Refusal(code, RequestOutcome.FAILED, detail, retryAfterMillis);
    }

    /**
     * Adapts this refusal to a call whose idempotency key was not looked up. The call itself did not run, but an
     * earlier one with the same key may have run through another daemon.
     * @param key idempotency key of the call, empty when it has none
     * @return a refusal with an unknown outcome if there is a key and this one says that nothing ran; otherwise this
     *     one
     */
    public Refusal withIdempotencyKey(String key) {
        boolean mayHaveRunBefore = !key.isEmpty() && outcome == RequestOutcome.NOT_RUN;
        return mayHaveRunBefore ? new Refusal(code, RequestOutcome.UNKNOWN, detail, retryAfterMillis) : this;
    }

    /**
     * Adapts this refusal to the time that the caller has left.
     * @param leftMillis time left, in milliseconds
     * @return a refusal that asks for no later return
     */
    Refusal withRetryWithin(long leftMillis) {
        return retryAfterMillis <= leftMillis ? this : new Refusal(code, outcome, detail, leftMillis);
    }

    /**
     * Creates a refusal of a request that may have run once and will not be sent again.
     * @param detail explanation for the caller
     * @return the refusal
     */
    public static Refusal unknown(String detail) {
        return new Refusal(RefusalCode.OUTCOME_UNKNOWN, RequestOutcome.UNKNOWN, detail, 0);
    }
}
