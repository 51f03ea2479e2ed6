package org.siskinlead.core.serving;

/**
 * Counters of requests, tokens and answers since the start. Not thread-safe: read and written by the decision thread
 * only.
 */
public final class ServingCounters {
    long admitted;
    long completed;
    long refused;
    long tokens;
    long lateAnswers;
    long mismatchedAnswers;

    /**
     * Counts requests admitted.
     * @return number of requests
     */
    public long admitted() {
        return admitted;
    }

    /**
     * Counts requests whose whole answer was delivered.
     * @return number of requests
     */
    public long completed() {
        return completed;
    }

    /**
     * Counts requests that were refused or failed.
     * @return number of requests
     */
    public long refused() {
        return refused;
    }

    /**
     * Counts tokens delivered.
     * @return number of tokens
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Counts answers that arrived after their attempt had been given up.
     * @return number of answers
     */
    public long lateAnswers() {
        return lateAnswers;
    }

    /**
     * Counts answers that belonged to another step than the one sent.
     * @return number of answers
     */
    public long mismatchedAnswers() {
        return mismatchedAnswers;
    }
}
