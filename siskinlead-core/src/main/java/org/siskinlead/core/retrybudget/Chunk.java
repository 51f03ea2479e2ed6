package org.siskinlead.core.retrybudget;

import org.siskinlead.core.freshness.Freshness;

/** A chunk of the pool that this daemon holds. */
final class Chunk {
    private final Freshness lease;
    private final boolean shared;
    private int left;

    /**
     * Creates an unused chunk.
     * @param lease tells for how long the chunk may be used
     * @param shared whether streams that have not started may use it
     * @param size number of its retries
     */
    Chunk(Freshness lease, boolean shared, int size) {
        this.lease = lease;
        this.shared = shared;
        this.left = size;
    }

    /** Gets the number of retries left for a purpose; none once its time of use has ended. */
    int available(RetryBudgetShare.Purpose purpose) {
        return lease.isFresh() && (shared || purpose != RetryBudgetShare.Purpose.STREAM_START) ? left : 0;
    }

    boolean isShared() {
        return shared;
    }

    boolean isOver() {
        return left == 0 || !lease.isFresh();
    }

    void take() {
        left--;
    }
}
