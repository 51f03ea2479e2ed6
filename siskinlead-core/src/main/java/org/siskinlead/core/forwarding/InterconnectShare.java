package org.siskinlead.core.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.time.Timers;

/**
 * This daemon's share of the link between data centres, which carries the activations of all tokens of a request once for
 * each crossing of its path. Transfers follow each other there, so what is sent beyond the capacity delays every stream that
 * crosses; it waits here instead, where it can be ordered and refused in time. The configuration names the capacity for the
 * engines of each service; all daemons get equal shares.
 */
final class InterconnectShare {
    private final Timers timers;
    private final IntSupplier daemonCount;
    /** Time by which the transfers of this daemon are over at its share, by service. */
    private final Map<String, Double> busyUntil = new HashMap<>();

    private InterconnectShare(Timers timers, IntSupplier daemonCount) {
        this.timers = timers;
        this.daemonCount = daemonCount;
    }

    static InterconnectShare of(Timers timers, IntSupplier daemonCount) {
        return new InterconnectShare(timers, daemonCount);
    }

    /** Tells whether a request on a path would not wait for earlier transfers of this daemon. */
    boolean hasRoom(AdmittedRequest request, HopPath path) {
        return transferMillis(request, path) == 0
                || busyUntil.getOrDefault(request.service().name(), 0.0) <= timers.nowMillis();
    }

    /** Counts the transfers of a request that is sent over a path. */
    void onSent(AdmittedRequest request, @Nullable HopPath path) {
        double millis = path == null ? 0 : transferMillis(request, path);
        if (millis > 0) {
            double from = Math.max(
                    (double) timers.nowMillis(),
                    busyUntil.getOrDefault(request.service().name(), 0.0));
            busyUntil.put(request.service().name(), from + millis * Math.max(1, daemonCount.getAsInt()));
        }
    }

    private static double transferMillis(AdmittedRequest request, HopPath path) {
        EngineSpec engine = request.service().engine();
        int crossings = path.dataCentreCrossings();
        return engine == null || crossings == 0 ? 0 : crossings * engine.crossingMillis(request.expectedTokens());
    }
}
