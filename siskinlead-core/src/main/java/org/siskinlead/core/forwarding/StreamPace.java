package org.siskinlead.core.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.time.Timers;

/**
 * Estimates how long a stream may take, by the pace of the slowest recent one of its service. For work that must end
 * before a given time, as while this daemon drains.
 */
final class StreamPace {
    /** Half of the time over which the slowest pace is remembered. */
    private static final long WINDOW_MS = 5_000;
    /** Ratio by which a stream may be slower than any recent one; the load of a target grows with each new stream. */
    private static final double SLOWER_FACTOR = 1.5;

    private final Timers timers;
    private final Map<String, Window> windows = new HashMap<>();

    private static final class Window {
        private long startedAt;
        private double slowestMillis;
        private double slowestBeforeMillis;

        void rotate(long now) {
            if (now - startedAt >= WINDOW_MS) {
                slowestBeforeMillis = now - startedAt < 2 * WINDOW_MS ? slowestMillis : 0;
                slowestMillis = 0;
                startedAt = now;
            }
        }
    }

    private StreamPace(Timers timers) {
        this.timers = timers;
    }

    static StreamPace of(Timers timers) {
        return new StreamPace(timers);
    }

    /**
     * Records the pace of a stream.
     * @param service name of its service
     * @param gapMillis its average gap between events, in milliseconds
     */
    void onEvents(String service, double gapMillis) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.rotate(timers.nowMillis());
        window.slowestMillis = Math.max(window.slowestMillis, gapMillis);
    }

    /** Tells whether streams of a service were observed of late. */
    boolean isKnown(String service) {
        return slowestMillis(service) > 0;
    }

    private double slowestMillis(String service) {
        Window window = windows.computeIfAbsent(service, s -> new Window());
        window.rotate(timers.nowMillis());
        return Math.max(window.slowestMillis, window.slowestBeforeMillis);
    }

    /** Estimates the longest duration of a stream by the pace of recent ones of its service, in milliseconds. */
    long maxDurationMillis(AdmittedRequest admitted) {
        return durationMillis(
                admitted, SLOWER_FACTOR * slowestMillis(admitted.service().name()));
    }

    /** Gets the longest duration of a stream that is on time, in milliseconds. */
    static long onTimeDurationMillis(AdmittedRequest admitted) {
        return durationMillis(admitted, (double) admitted.eventGapObjectiveMillis());
    }

    private static long durationMillis(AdmittedRequest admitted, double gapMillis) {
        EngineSpec engine = admitted.service().engine();
        // Each event that the caller has received of a resumed stream had at least one token.
        long tokens =
                Math.max(1, admitted.maxAnswerTokens() - admitted.request().lastEventId());
        double events = Math.ceil(tokens / (double) (engine == null ? 1 : engine.stepsPerPass()));
        // A stream that loses its path may be resumed as late as its caller waits for it.
        return admitted.callerPatienceMillis()
                + admitted.route().latencyObjectiveMillis()
                + Math.round(events * gapMillis);
    }
}
