package org.siskinlead.core.retry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.siskinlead.core.time.Timers;

/** Targets that stopped answering while they ran a request and have not resumed their work since. */
final class Exposures {
    /** Time within which a target may resume its work; one that sends no state report in that time counts as lost. */
    static final long RECOVERY_TIMEOUT_MS = 30_000;

    /** Time between two state reports of a target after which it has resumed its earlier work. */
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

    /** Counts the exposed targets of a request that may still recover and have not crashed. */
    int countOpen(String fingerprint, Set<String> crashed) {
        return count(fingerprint, crashed, 0, RECOVERY_TIMEOUT_MS);
    }

    /** Counts the exposed targets of a request that did not recover in time and are not known to have crashed. */
    int countLost(String fingerprint, Set<String> crashed) {
        return count(fingerprint, crashed, RECOVERY_TIMEOUT_MS, CrashGuard.SUSPICION_TTL_MS);
    }

    private int count(String fingerprint, Set<String> crashed, long minAgeMillis, long maxAgeMillis) {
        long now = timers.nowMillis();
        return (int) byFingerprint.getOrDefault(fingerprint, Map.of()).entrySet().stream()
                .filter(e -> !crashed.contains(e.getKey()))
                .filter(e -> now - e.getValue().since >= minAgeMillis && now - e.getValue().since < maxAgeMillis)
                .count();
    }

    void add(String fingerprint, String instanceId) {
        add(fingerprint, instanceId, timers.nowMillis());
    }

    /** Adds a target that is known not to resume its work. */
    void addLost(String fingerprint, String instanceId) {
        add(fingerprint, instanceId, timers.nowMillis() - RECOVERY_TIMEOUT_MS);
    }

    private void add(String fingerprint, String instanceId, long since) {
        byFingerprint.computeIfAbsent(fingerprint, f -> new HashMap<>()).put(instanceId, new Exposure(since));
        if (byFingerprint.size() > MAX_REQUESTS) {
            byFingerprint.remove(byFingerprint.keySet().iterator().next());
        }
    }

    void remove(String fingerprint) {
        byFingerprint.remove(fingerprint);
    }

    /** Handles a state report of a target, which ends its exposures once it has had time to resume its work. */
    void onTargetReport(String instanceId) {
        long now = timers.nowMillis();
        for (Map<String, Exposure> exposed : byFingerprint.values()) {
            Exposure exposure = exposed.get(instanceId);
            if (exposure != null && now - exposure.firstReportAt >= RECOVERED_AFTER_MS) {
                exposed.remove(instanceId);
            } else if (exposure != null) {
                exposure.firstReportAt = Math.min(exposure.firstReportAt, now);
            }
        }
        byFingerprint.values().removeIf(Map::isEmpty);
    }
}
