package org.siskinlead.core.retrybudget;

/**
 * Division of the slack into chunks. It follows from the settings alone, so that all daemons agree on it whatever number
 * of daemons each of them sees.
 * @param chunkSize retries of a chunk
 * @param chunks number of chunks
 * @param sharedChunks number of chunks, from the first one, that streams which have not started may use too
 */
record PoolLayout(int chunkSize, int chunks, int sharedChunks) {
    /**
     * Part of the slack that daemons share equally as private parts. The private parts may add up to twice as much while
     * daemons disagree on their number, as when half of them are partitioned: 0.92 x (1 + 1/12) stays below 1.
     */
    static final double PRIVATE_FRACTION = 1.0 / 12;

    /**
     * Number of chunks above which they hold more than one retry, so that draining a pool costs a bounded number of writes.
     * Smaller chunks are better: of two retries, the second one often stays unused where each daemon needs few.
     */
    private static final int MAX_CHUNKS = 400;

    static PoolLayout of(RetryBudgetShare.Budget budget, double usableFraction, double streamStartFraction) {
        double pooled = usableFraction * (1 - PRIVATE_FRACTION) * budget.slack();
        int chunkSize = (int) Math.max(1, Math.ceil(pooled / MAX_CHUNKS));
        int chunks = (int) (pooled / chunkSize);
        return new PoolLayout(chunkSize, chunks, (int) Math.round(streamStartFraction * chunks));
    }

    /** Gets the number of chunks, from the first one, that may be claimed for a purpose. */
    int chunksFor(RetryBudgetShare.Purpose purpose) {
        return purpose == RetryBudgetShare.Purpose.STREAM_START ? sharedChunks : chunks;
    }

    boolean isShared(int number) {
        return number < sharedChunks;
    }
}
