package org.siskinlead.standins;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts and latency histograms of a load test within the measurement window. Wrong tokens count at any time. */
final class LoadResults {
    private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final long windowStartNanos;
    private final long windowEndNanos;
    private final Histogram firstTokenLatency = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram interTokenLatency = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram longestGapPerStream = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Long> outcomes = new TreeMap<>();
    private long receivedTokens;
    private long wrongTokens;
    private int openRequests;

    /**
     * Results, as written to the output file.
     * @param tokensPerSecond tokens received per second within the window
     * @param outcomes number of requests that ended within the window, by outcome
     * @param wrongTokens tokens that differ from the expected ones, also outside the window
     * @param stillOpen requests that had not ended when the drain timeout expired
     * @param millis latency percentiles in milliseconds, by name
     */
    record Summary(
            double tokensPerSecond,
            Map<String, Long> outcomes,
            long wrongTokens,
            int stillOpen,
            Map<String, Double> millis) {}

    LoadResults(long windowStartNanos, long windowEndNanos) {
        this.windowStartNanos = windowStartNanos;
        this.windowEndNanos = windowEndNanos;
    }

    synchronized void recordFirstToken(long nowNanos, long latencyNanos) {
        if (isWithinWindow(nowNanos)) {
            receivedTokens++;
            record(firstTokenLatency, latencyNanos);
        }
    }

    synchronized void recordNextToken(long nowNanos, long latencyNanos) {
        if (isWithinWindow(nowNanos)) {
            receivedTokens++;
            record(interTokenLatency, latencyNanos);
        }
    }

    synchronized void recordWrongToken() {
        wrongTokens++;
    }

    synchronized void recordEnd(String outcome, long intendedAtNanos, long nowNanos, long longestGapNanos) {
        if (isWithinWindow(nowNanos)) {
            outcomes.merge(outcome, 1L, Long::sum);
            if (outcome.equals("complete")) {
                record(longestGapPerStream, longestGapNanos);
            }
        }
    }

    synchronized void setOpenRequests(int openRequests) {
        this.openRequests = openRequests;
    }

    synchronized long wrongTokens() {
        return wrongTokens;
    }

    synchronized Summary summary() {
        Map<String, Double> millis = new LinkedHashMap<>();
        addPercentiles(millis, "first-token", firstTokenLatency);
        addPercentiles(millis, "between-tokens", interTokenLatency);
        addPercentiles(millis, "longest-gap", longestGapPerStream);
        double seconds = (windowEndNanos - windowStartNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        return new Summary(receivedTokens / seconds, outcomes, wrongTokens, openRequests, millis);
    }

    String formatTable() {
        Summary summary = summary();
        StringBuilder table = new StringBuilder();
        table.append(String.format("tokens/s %.0f%n", summary.tokensPerSecond()));
        summary.outcomes().forEach((outcome, count) -> table.append(String.format("%-40s %d%n", outcome, count)));
        table.append(String.format("wrong tokens %d, still open %d%n", summary.wrongTokens(), summary.stillOpen()));
        summary.millis().forEach((name, value) -> table.append(String.format("%-24s %.1f ms%n", name, value)));
        return table.toString();
    }

    private static void addPercentiles(Map<String, Double> millis, String name, Histogram histogram) {
        for (double percentile : new double[] {50, 95, 99, 100}) {
            String label = name + " p" + (int) percentile;
            millis.put(label, histogram.getValueAtPercentile(percentile) / 1_000.0);
        }
    }

    private boolean isWithinWindow(long nowNanos) {
        return nowNanos >= windowStartNanos && nowNanos < windowEndNanos;
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.min(MAX_RECORDED_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos))));
    }
}
