package org.siskinlead.core.forwarding;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.siskinlead.core.serving.RefusalCode;

/** Counts of what happened to requests. For the decision thread. */
public final class ForwardingCounters {
    /** What is counted. */
    public enum Count {
        RECEIVED,
        ANSWERED,
        ANSWERED_LATE,
        STREAMS_BEGUN,
        STREAMS_COMPLETE,
        STREAMS_ABORTED,
        STREAMS_RESUMED,
        RETRIED,
        RETRIES_DENIED,
        CALLER_LEFT,
        QUEUED,
        PROBES,
        TARGETS_FOUND_DOWN
    }

    /** What is timed, in milliseconds. */
    public enum Latency {
        /** From a request to its whole answer. */
        ANSWER,
        /** From a request to the first event of its answer. */
        FIRST_EVENT,
        /** Longest pause between two events of an answer. */
        LONGEST_PAUSE
    }

    /** Receives times. */
    public interface LatencyListener {
        /**
         * Takes a time.
         * @param what what was timed
         * @param millis the time, in milliseconds
         */
        void onLatency(Latency what, long millis);
    }

    private LatencyListener listener = (what, millis) -> {};
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private final Map<RefusalCode, Long> refusals = new EnumMap<>(RefusalCode.class);

    /**
     * Registers what receives times.
     * @param receiver the receiver
     */
    public void setLatencyListener(LatencyListener receiver) {
        listener = receiver;
    }

    void recordLatency(Latency what, long millis) {
        listener.onLatency(what, millis);
    }

    /**
     * Counts one.
     * @param what what happened
     */
    public void increment(Count what) {
        counts.merge(what, 1L, Long::sum);
    }

    /**
     * Counts a refusal.
     * @param code why
     */
    public void incrementRefusals(RefusalCode code) {
        refusals.merge(code, 1L, Long::sum);
    }

    /**
     * Lists the counts.
     * @return values by name
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
