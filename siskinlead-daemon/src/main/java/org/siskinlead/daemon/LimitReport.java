package org.siskinlead.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;
import org.siskinlead.protocol.http.ServerCounters;

/** Records what the limits of the servers refused and closed, in one event for all connections of a second. */
public final class LimitReport {
    private static final long INTERVAL_MS = 1_000;

    private final Timeline timeline;
    private final ServerCounters counters;
    private Map<String, Long> reported = Map.of();

    private LimitReport(Timeline timeline, ServerCounters counters) {
        this.timeline = timeline;
        this.counters = counters;
    }

    /**
     * Starts to report.
     * @param timers scheduler of the decision thread
     * @param timeline receives the events
     * @param counters counts of the servers
     */
    public static void start(Timers timers, Timeline timeline, ServerCounters counters) {
        timers.every(INTERVAL_MS, new LimitReport(timeline, counters)::report);
    }

    private void report() {
        Map<String, Long> counts = counters.limitCounts();
        List<Object> fields = new ArrayList<>();
        counts.forEach((name, count) -> {
            long added = count - reported.getOrDefault(name, 0L);
            if (added > 0) {
                fields.add(name);
                fields.add(added);
            }
        });
        reported = counts;
        if (!fields.isEmpty()) {
            timeline.record(EventKind.INPUT_LIMITED, fields.toArray());
        }
    }
}
