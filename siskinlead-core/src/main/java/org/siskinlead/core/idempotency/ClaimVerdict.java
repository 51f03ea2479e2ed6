package org.siskinlead.core.idempotency;

/** Decision on a claim. */
public enum ClaimVerdict {
    /** The claim is recorded; only this claimant may send the call, once. */
    SEND,
    /** Another claimant holds the key and its call has not ended. */
    IN_PROGRESS,
    /** The call was answered before; the record holds the answer. */
    DONE,
    /** The call may have run, but its answer is lost. */
    UNKNOWN,
    /** The key was used for a call with another fingerprint. */
    MISMATCH,
    /** The claim could not be recorded; nothing may be sent. */
    UNAVAILABLE
}
