package org.siskinlead.core.retry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.siskinlead.core.time.Timers;

/** Targets that stopped answering while they ran a request, until they have gone on with their work. */
final class Exposures {
    /** How long a target may still go on with its work; one that is not heard in that time is taken for lost. */
    static final long RECOVERY_TIMEOUT_MS = 30_000;

    /** Time between two reports of a target after which it has gone on with the work that it had. */
    private static final long RECOVERED_AFTER_MS = 300;

    private static final int MAX_REQUESTS = 10_000;

    private final Timers timers;
    private final Map<String, Map<String, Exposure>> byFingerprint = new LinkedHashMap<>();

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
    int countOpen(String fingerprint, Set<String> dead) {
        return count(fingerprint, dead, 0, RECOVERY_TIMEOUT_MS);
    }

    /** Counts the exposed targets of a request that were not heard again, and are not among the dead. */
    int countLost(String fingerprint, Set<String> dead) {
        return count(fingerprint, dead, RECOVERY_TIMEOUT_MS, CrashGuard.SUSPICION_TTL_MS);
    }

    private int count(String fingerprint, Set<String> dead, long fromAge, long toAge) {
        long now = timers.nowMillis();
        return (int) byFingerprint.getOrDefault(fingerprint, Map.of()).entrySet().stream()
                .filter(e -> !dead.contains(e.getKey()))
                .filter(e -> now - e.getValue().since >= fromAge && now - e.getValue().since < toAge)
                .count();
    }

    void add(String fingerprint, String target) {
        add(fingerprint, target, timers.nowMillis());
    }

    /** Notes a target that is known not to go on. */
    void addLost(String fingerprint, String target) {
        add(fingerprint, target, timers.nowMillis() - RECOVERY_TIMEOUT_MS);
    }

    private void add(String fingerprint, String target, long since) {
        byFingerprint.computeIfAbsent(fingerprint, f -> new HashMap<>()).put(target, new Exposure(since));
        if (byFingerprint.size() > MAX_REQUESTS) {
            byFingerprint.remove(byFingerprint.keySet().iterator().next());
        }
    }

    void remove(String fingerprint) {
        byFingerprint.remove(fingerprint);
    }

    /** Notes that a target reported, which ends its exposures once it has had time to go on. */
    void onReport(String target) {
        long now = timers.nowMillis();
        for (Map<String, Exposure> exposed : byFingerprint.values()) {
            Exposure exposure = exposed.get(target);
            if (exposure != null && now - exposure.firstReportAt >= RECOVERED_AFTER_MS) {
                exposed.remove(target);
            } else if (exposure != null) {
                exposure.firstReportAt = Math.min(exposure.firstReportAt, now);
            }
        }
        byFingerprint.values().removeIf(Map::isEmpty);
    }
}
