package org.siskinlead.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Renders metrics as text: a name and a value on each line. */
public final class MetricsText {
    private MetricsText() {}

    /**
     * Renders every gauge and histogram.
     * @param metrics the metrics
     * @return the lines, in the order of their names
     */
    public static String of(MetricRegistry metrics) {
        return of(metrics, Map.of());
    }

    /**
     * Renders every gauge and histogram, and counts that are kept elsewhere.
     * @param metrics the metrics
     * @param counts the counts by name
     * @return the lines, in the order of the names within each sort
     */
    public static String of(MetricRegistry metrics, Map<String, Long> counts) {
        StringBuilder text = new StringBuilder();
        metrics.getGauges().forEach((name, gauge) -> line(text, name, value(gauge)));
        metrics.getHistograms().forEach((name, histogram) -> lines(text, name, histogram));
        new TreeMap<>(counts).forEach((name, count) -> line(text, name, Long.toString(count)));
        return text.toString();
    }

    private static String value(Gauge<?> gauge) {
        return String.valueOf(gauge.getValue());
    }

    private static void lines(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        line(text, name + ".count", Long.toString(histogram.getCount()));
        line(text, name + ".p50", number(snapshot.getMedian()));
        line(text, name + ".p95", number(snapshot.get95thPercentile()));
        line(text, name + ".p99", number(snapshot.get99thPercentile()));
        line(text, name + ".max", Long.toString(snapshot.getMax()));
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static void line(StringBuilder text, String name, String value) {
        text.append("siskinlead_")
                .append(name.replace('.', '_'))
                .append(' ')
                .append(value)
                .append('\n');
    }
}
