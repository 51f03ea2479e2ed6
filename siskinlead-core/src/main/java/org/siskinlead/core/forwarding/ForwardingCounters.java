package org.siskinlead.core.forwarding;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.serving.RefusalCode;

/** Counts and times request outcomes. Not thread-safe: used on the decision thread only. */
public final class ForwardingCounters {
    /** Counted events; the metric is {@code requests.} and the name in lower case. */
    public enum Count {
        RECEIVED,
        /** Responses of safe and unsafe routes delivered within the latency objective. */
        ANSWERED,
        /** Responses of safe and unsafe routes delivered after the latency objective. */
        ANSWERED_LATE,
        STREAMS_BEGUN,
        STREAMS_COMPLETE,
        STREAMS_ABORTED,
        /** Requests passed on to a target whose callers got no complete answer, unless they disconnected. */
        CUT,
        /** Of these, requests that still ran when this daemon stopped. */
        CUT_BY_STOP,
        /** Retries of streams whose response has started. */
        STREAMS_RESUMED,
        /** All other retries. */
        RETRIED,
        /** Requests given up because the retry budget was exhausted. */
        RETRIES_DENIED,
        /** Chunks of the retry budget that this daemon has claimed from the pool of all daemons. */
        RETRY_CHUNKS_CLAIMED,
        /** Claims of chunks that failed, since the store did not confirm them or all chunks tried were taken. */
        RETRY_CLAIMS_FAILED,
        /** Requests whose caller disconnected before the end. */
        CALLER_LEFT,
        QUEUED,
        PROBES,
        TARGETS_FOUND_DOWN,
        /** Plans of paths computed. */
        PATH_PLANS,
        /** Paths drawn from a plan. */
        PATHS_DRAWN,
        /** Paths searched for because no drawn one was permitted. */
        PATHS_SEARCHED
    }

    /** Measured latencies, in milliseconds. */
    public enum Latency {
        /** From the request to its complete answer. */
        ANSWER,
        /** From the request to the first event of its stream. */
        FIRST_EVENT,
        /** Longest pause between two deliveries of events of a stream. */
        LONGEST_PAUSE
    }

    /** Receives latency measurements. */
    public interface LatencyListener {
        /**
         * Records a latency.
         * @param what what was measured
         * @param millis the latency, in milliseconds
         */
        void onLatency(Latency what, long millis);
    }

    private LatencyListener listener = (what, millis) -> {};
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final Map<RefusalCode, Long> refusals = new EnumMap<>(RefusalCode.class);

    /**
     * Sets the receiver of latency measurements, which replaces the previous one.
     * @param receiver the receiver
     */
    public void setLatencyListener(LatencyListener receiver) {
        listener = receiver;
    }

    /**
     * Creates a listener that counts claims from the pool of the retry budget.
     * @return the listener
     */
    public RetryBudgetShare.Listener claimListener() {
        return new RetryBudgetShare.Listener() {
            @Override
            public void onChunkClaimed() {
                increment(Count.RETRY_CHUNKS_CLAIMED);
            }

            @Override
            public void onClaimFailed() {
                increment(Count.RETRY_CLAIMS_FAILED);
            }
        };
    }

    void recordLatency(Latency what, long millis) {
        listener.onLatency(what, millis);
    }

    /**
     * Increments a count by one.
     * @param what the count
     */
    public void increment(Count what) {
        counts.merge(what, 1L, Long::sum);
    }

    /**
     * Increments the count of refusals with a code by one.
     * @param code code of the refusal
     */
    public void incrementRefusals(RefusalCode code) {
        refusals.merge(code, 1L, Long::sum);
    }

    /**
     * Gets a count.
     * @param what the count
     * @return its value since the start
     */
    public long get(Count what) {
        return counts.getOrDefault(what, 0L);
    }

    /**
     * Lists the counts that are not zero.
     * @return values by metric name, {@code requests.*} and {@code refusals.*}
     */
    public Map<String, Long> values() {
        Map<String, Long> values = new TreeMap<>();
        counts.forEach(
                (count, value) -> values.put("requests." + count.name().toLowerCase(java.util.Locale.ROOT), value));
        refusals.forEach(
                (code, value) -> values.put("refusals." + code.name().toLowerCase(java.util.Locale.ROOT), value));
        return values;
    }
}
