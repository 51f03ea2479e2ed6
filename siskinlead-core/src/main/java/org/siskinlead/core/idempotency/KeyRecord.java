package org.siskinlead.core.idempotency;

/**
 * What is recorded under an idempotency key.
 * @param claim identifier of the claim that may send the call
 * @param owner identity of the daemon that made the claim
 * @param fingerprint fingerprint of the call
 * @param state what is known of the call
 * @param status HTTP status of the answer; 0 while there is none
 * @param body body of the answer
 * @param wallMillis when it was recorded, in milliseconds since the Unix epoch
 */
public record KeyRecord(
        String claim, String owner, String fingerprint, State state, int status, String body, long wallMillis) {
    /** What is known of a call. */
    public enum State {
        /** It may have been sent. */
        CLAIMED,
        /** It was answered. */
        DONE,
        /** It was sent and its answer was lost. */
        UNKNOWN,
        /** It was certainly not sent; the key is free again. */
        NOT_RUN
    }

    /**
     * Creates a claim.
     * @param claim identifier of the claim
     * @param owner identity of the claiming daemon
     * @param fingerprint fingerprint of the call
     * @param wallMillis present wall time in milliseconds
     * @return the record
     */
    public static KeyRecord claimed(String claim, String owner, String fingerprint, long wallMillis) {
        return new KeyRecord(claim, owner, fingerprint, State.CLAIMED, 0, "", wallMillis);
    }

    /**
     * Copies this record with its final state.
     * @param finalState final state
     * @param finalStatus HTTP status of the answer
     * @param finalBody body of the answer
     * @return the copy
     */
    public KeyRecord withResult(State finalState, int finalStatus, String finalBody) {
        return new KeyRecord(claim, owner, fingerprint, finalState, finalStatus, finalBody, wallMillis);
    }
}
