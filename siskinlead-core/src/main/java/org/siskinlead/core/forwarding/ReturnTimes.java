package org.siskinlead.core.forwarding;

import java.util.random.RandomGenerator;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;

/** Tells refused callers when to come back, spread out so that they do not return together. */
final class ReturnTimes {
    /** Earliest return to a stream's route: a queue that is full empties in about a second. */
    private static final long STREAM_EARLIEST_MS = 800;
    /** Latest return to a stream's route. */
    private static final long STREAM_LATEST_MS = 3_000;
    /** Returns to other routes, as shares of their objective. */
    private static final double EARLIEST_SHARE = 0.2;

    private static final double LATEST_SHARE = 0.8;

    private final RandomGenerator random;

    ReturnTimes(RandomGenerator random) {
        this.random = random;
    }

    long draw(Route route) {
        if (route.kind() == RouteKind.STREAM) {
            return between(STREAM_EARLIEST_MS, STREAM_LATEST_MS);
        }
        return between(
                Math.round(EARLIEST_SHARE * route.latencyObjectiveMillis()),
                Math.round(LATEST_SHARE * route.latencyObjectiveMillis()));
    }

    private long between(long earliest, long latest) {
        return earliest + Math.round(random.nextDouble() * Math.max(0, latest - earliest));
    }
}
