package org.siskinlead.core.retry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.siskinlead.core.time.Timers;

/** Targets that stopped answering while they ran a request, until they have gone on with their work. */
final class Exposures {
    /** How long a target may still go on with its work; one that is not heard in that time is taken for lost. */
    static final long LIFE_MS = 30_000;

    /** Time between two reports of a target after which it has gone on with the work that it had. */
    private static final long SETTLED_MS = 300;

    private static final int MAX_REQUESTS = 10_000;

    private final Timers timers;
    private final Map<String, Map<String, Exposure>> byRequest = new LinkedHashMap<>();

    private static final class Exposure {
        private final long since;
        private long firstReportAt = Long.MAX_VALUE;

        Exposure(long since) {
            this.since = since;
        }
    }

    Exposures(Timers timers) {
        this.timers = timers;
    }

    /** Counts the exposed targets of a request that are not among the dead. */
    int open(String fingerprint, Set<String> dead) {
        return count(fingerprint, dead, 0, LIFE_MS);
    }

    /** Counts the exposed targets of a request that were not heard again, and are not among the dead. */
    int lost(String fingerprint, Set<String> dead) {
        return count(fingerprint, dead, LIFE_MS, CrashGuard.SUSPICION_MS);
    }

    private int count(String fingerprint, Set<String> dead, long fromAge, long toAge) {
        long now = timers.nowMillis();
        return (int) byRequest.getOrDefault(fingerprint, Map.of()).entrySet().stream()
                .filter(e -> !dead.contains(e.getKey()))
                .filter(e -> now - e.getValue().since >= fromAge && now - e.getValue().since < toAge)
                .count();
    }

    void note(String fingerprint, String target) {
        note(fingerprint, target, timers.nowMillis());
    }

    /** Notes a target that is known not to go on. */
    void noteLost(String fingerprint, String target) {
        note(fingerprint, target, timers.nowMillis() - LIFE_MS);
    }

    private void note(String fingerprint, String target, long since) {
        byRequest.computeIfAbsent(fingerprint, f -> new HashMap<>()).put(target, new Exposure(since));
        if (byRequest.size() > MAX_REQUESTS) {
            byRequest.remove(byRequest.keySet().iterator().next());
        }
    }

    void forget(String fingerprint) {
        byRequest.remove(fingerprint);
    }

    /** Notes that a target reported, which ends its exposures once it has had time to go on. */
    void onReport(String target) {
        long now = timers.nowMillis();
        for (Map<String, Exposure> exposed : byRequest.values()) {
            Exposure exposure = exposed.get(target);
            if (exposure != null && now - exposure.firstReportAt >= SETTLED_MS) {
                exposed.remove(target);
            } else if (exposure != null) {
                exposure.firstReportAt = Math.min(exposure.firstReportAt, now);
            }
        }
        byRequest.values().removeIf(Map::isEmpty);
    }
}
