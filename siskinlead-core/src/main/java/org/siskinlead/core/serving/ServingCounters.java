package org.siskinlead.core.serving;

/** Counts what serving has done since the start; read and written by the decision thread only. */
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
     * Counts requests that ended complete.
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
     * Counts answers that came after their attempt had been given up.
     * @return number of answers
     */
    public long lateAnswers() {
        return lateAnswers;
    }

    /**
     * Counts answers that did not match what was asked.
     * @return number of answers
     */
    public long crossedAnswers() {
        return mismatchedAnswers;
    }
}
