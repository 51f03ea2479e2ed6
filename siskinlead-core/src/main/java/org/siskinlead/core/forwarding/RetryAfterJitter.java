package org.siskinlead.core.forwarding;

import java.util.random.RandomGenerator;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;

/** Draws {@code Retry-After} times with jitter, so that refused callers do not retry at the same time. */
final class RetryAfterJitter {
    /** Minimum for stream routes: a full queue empties in about a second. */
    private static final long STREAM_MIN_MS = 800;

    private static final long STREAM_MAX_MS = 3_000;
    /** Bounds for other routes, as fractions of the latency objective. */
    private static final double MIN_OBJECTIVE_FRACTION = 0.2;

    private static final double MAX_OBJECTIVE_FRACTION = 0.8;

    private final RandomGenerator random;

    RetryAfterJitter(RandomGenerator random) {
        this.random = random;
    }

    long drawMillis(Route route) {
        if (route.kind() == RouteKind.STREAM) {
            return between(STREAM_MIN_MS, STREAM_MAX_MS);
        }
        return between(
                Math.round(MIN_OBJECTIVE_FRACTION * route.latencyObjectiveMillis()),
                Math.round(MAX_OBJECTIVE_FRACTION * route.latencyObjectiveMillis()));
    }

    private long between(long minMillis, long maxMillis) {
        return minMillis + Math.round(random.nextDouble() * Math.max(0, maxMillis - minMillis));
    }
}
