package org.siskinlead.core.forwarding;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.registry.TargetHealth;

/**
 * Detects targets at which streams stall. A stopped target stalls every stream that passes through it, and a flowing
 * stream shows that every target on its path is alive. So only targets that are on a late or stalled path, and on no
 * flowing one, are probed.
 */
final class StallDetector {
    /** Streams that must be late at the same time before the targets on their paths are probed. */
    private static final int MIN_LATE_STREAMS = 3;

    private StallDetector() {}

    static void check(Collection<StreamingCall> streams, TargetProber prober) {
        Set<TargetHealth> alive = new LinkedHashSet<>();
        Set<TargetHealth> suspects = new LinkedHashSet<>();
        String requestId = "";
        int late = 0;
        boolean stalled = false;
        for (StreamingCall stream : streams) {
            HopPath path = stream.path();
            StreamTiming.Status status = path == null ? StreamTiming.Status.UNKNOWN : stream.timingStatus();
            if (path == null || status == StreamTiming.Status.UNKNOWN) {
                continue;
            }
            if (status == StreamTiming.Status.FLOWING) {
                addAll(alive, path);
                continue;
            }
            late++;
            stalled |= status == StreamTiming.Status.STALLED;
            requestId = stream.admitted().request().id();
            addAll(suspects, path);
        }
        if (stalled || late >= MIN_LATE_STREAMS) {
            suspects.removeAll(alive);
            prober.checkAll(suspects, requestId);
        }
    }

    private static void addAll(Set<TargetHealth> targets, HopPath path) {
        for (Hop hop : path.hops()) {
            targets.add(hop.target());
        }
    }
}
