package org.siskinlead.core.platform;

import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Client of the platform's lease store, in which changes can be conditional and keys are removed with their lease. */
public interface LeaseStore {
    /** Revision of a key that does not exist. */
    long ABSENT = 0;

    /** Outcome of a call, as far as it is known. */
    enum Outcome {
        /** The call took effect. */
        DONE,
        /** A condition was not met; nothing was changed. */
        CONFLICT,
        /** The lease has ended; nothing was changed. */
        LEASE_ENDED,
        /** The store rejected the call; nothing was changed. */
        REJECTED,
        /** No answer; the call may take effect later if its conditions are still met. */
        UNKNOWN
    }

    /**
     * Result of opening a lease.
     * @param outcome outcome of the call
     * @param lease number of the lease, valid only when it was opened
     * @param ttlMillis time to live of the lease, in milliseconds
     */
    record LeaseResult(Outcome outcome, long lease, long ttlMillis) {}

    /**
     * Requires that a key is still at a revision.
     * @param key key to compare
     * @param revision expected revision of its last change, or {@link #ABSENT}
     */
    record Condition(String key, long revision) {}

    /**
     * Sets or removes a key.
     * @param key key to change
     * @param value new value, or null to remove the key
     * @param lease number of the lease with which the key is removed, 0 for none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Change(String key, byte @Nullable [] value, long lease) {}

    /**
     * Opens a lease.
     * @param ttlMillis requested time to live, in milliseconds
     * @param onResult receives the lease
     */
    void openLease(long ttlMillis, Consumer<LeaseResult> onResult);

    /**
     * Renews a lease for its time to live.
     * @param lease number of the lease
     * @param onResult receives the outcome
     */
    void renewLease(long lease, Consumer<Outcome> onResult);

    /**
     * Ends a lease and removes its keys.
     * @param lease number of the lease
     * @param onResult receives the outcome
     */
    void endLease(long lease, Consumer<Outcome> onResult);

    /**
     * Applies changes atomically if all conditions are met.
     * @param conditions conditions that must all be met
     * @param changes changes of keys, applied in order
     * @param onResult receives the outcome
     */
    void commit(List<Condition> conditions, List<Change> changes, Consumer<Outcome> onResult);
}
