package org.siskinlead.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Renders metrics as text, one name and value per line. */
public final class MetricsText {
    private MetricsText() {}

    /**
     * Renders all gauges and histograms.
     * @param metrics registry with the gauges and histograms
     * @return lines of the gauges, then of the histograms, each sorted by name
     */
    public static String of(MetricRegistry metrics) {
        return of(metrics, Map.of());
    }

    /**
     * Renders all gauges and histograms, and further counts that are not in the registry.
     * @param metrics registry with the gauges and histograms
     * @param counts counts by name
     * @return lines of the gauges, then of the histograms, then of the counts, each sorted by name
     */
    public static String of(MetricRegistry metrics, Map<String, Long> counts) {
        StringBuilder text = new StringBuilder();
        metrics.getGauges().forEach((name, gauge) -> appendValue(text, name, formatGauge(gauge)));
        metrics.getHistograms().forEach((name, histogram) -> appendHistogram(text, name, histogram));
        new TreeMap<>(counts).forEach((name, count) -> appendValue(text, name, Long.toString(count)));
        return text.toString();
    }

    private static String formatGauge(Gauge<?> gauge) {
        return String.valueOf(gauge.getValue());
    }

    private static void appendHistogram(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        appendValue(text, name + ".count", Long.toString(histogram.getCount()));
        appendValue(text, name + ".p50", formatNumber(snapshot.getMedian()));
        appendValue(text, name + ".p95", formatNumber(snapshot.get95thPercentile()));
        appendValue(text, name + ".p99", formatNumber(snapshot.get99thPercentile()));
        appendValue(text, name + ".max", Long.toString(snapshot.getMax()));
    }

    private static String formatNumber(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static void appendValue(StringBuilder text, String name, String value) {
        text.append("siskinlead_")
                .append(name.replace('.', '_'))
                .append(' ')
                .append(value)
                .append('\n');
    }
}
