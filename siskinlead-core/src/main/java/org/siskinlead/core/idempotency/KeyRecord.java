package org.siskinlead.core.idempotency;

/**
 * Record stored under an idempotency key.
 * @param claim identifier of the claim that may send the call
 * @param owner identity of the daemon that made the claim
 * @param fingerprint fingerprint of the call
 * @param state last known state of the call
 * @param status HTTP status of the answer; 0 while there is none
 * @param body body of the answer
 * @param wallMillis time at which the claim was recorded, in milliseconds since the Unix epoch
 */
public record KeyRecord(
        String claim, String owner, String fingerprint, State state, int status, String body, long wallMillis) {
    /** Last known state of a call. */
    public enum State {
        /** The call may have been sent. */
        CLAIMED,
        /** The call was answered. */
        DONE,
        /** The call was sent and its answer was lost. */
        UNKNOWN,
        /** The call was certainly not sent; the key may be claimed again. */
        NOT_RUN
    }

    /**
     * Creates the record of a new claim.
     * @param claim identifier of the claim
     * @param owner identity of the claiming daemon
     * @param fingerprint fingerprint of the call
     * @param wallMillis current time in milliseconds since the Unix epoch
     * @return the record
     */
    public static KeyRecord claimed(String claim, String owner, String fingerprint, long wallMillis) {
        return new KeyRecord(claim, owner, fingerprint, State.CLAIMED, 0, "", wallMillis);
    }

    /**
     * Copies this record with the result of the call.
     * @param finalState state other than {@code CLAIMED}
     * @param finalStatus HTTP status of the answer; 0 when there is none
     * @param finalBody body of the answer; empty when there is none
     * @return the copy
     */
    public KeyRecord withResult(State finalState, int finalStatus, String finalBody) {
        return new KeyRecord(claim, owner, fingerprint, finalState, finalStatus, finalBody, wallMillis);
    }
}
