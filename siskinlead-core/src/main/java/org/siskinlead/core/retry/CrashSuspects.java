package org.siskinlead.core.retry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.siskinlead.core.time.Timers;

/**
 * Records requests that were running on targets when these crashed. A request that was running at the crashes of
 * several targets is assumed to have caused them and is sent to no further target.
 */
public final class CrashSuspects {
    /** Crashed targets at which a request is assumed to be the cause. */
    static final int MAX_CRASHED_TARGETS = 2;
    /** Time for which a crash is remembered, in milliseconds; longer than any caller retries a request. */
    static final long CRASH_TTL_MS = 60_000;

    private static final int MAX_CRASHES_TRACKED = 1_000;

    private final Timers timers;
    private final Map<String, Crash> crashes = new LinkedHashMap<>();
    private final Map<String, Set<String>> crashedByFingerprint = new HashMap<>();

    private record Crash(long at, Set<String> fingerprints) {}

    private CrashSuspects(Timers timers) {
        this.timers = timers;
    }

    /**
     * Creates an empty record.
     * @param timers clock and scheduler
     * @return the record
     */
    public static CrashSuspects of(Timers timers) {
        return new CrashSuspects(timers);
    }

    /**
     * Returns whether no crash is remembered, so that no request can be blocked.
     * @return true when no crash is remembered
     */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Returns whether a request must not be sent to any further target.
     * @param fingerprint identifies the request across its attempts
     * @return true when too many targets crashed while they ran it
     */
    public boolean isBlocked(String fingerprint) {
        expire();
        return crashedByFingerprint.getOrDefault(fingerprint, Set.of()).size() >= MAX_CRASHED_TARGETS;
    }

    /**
     * Records a crash. Records of the same crash from several daemons are merged.
     * @param instanceId instance of the target that crashed
     * @param fingerprints fingerprints of the requests that were running on it
     */
    public void onCrash(String instanceId, Collection<String> fingerprints) {
        expire();
        Crash crash = crashes.computeIfAbsent(instanceId, id -> new Crash(timers.nowMillis(), new HashSet<>()));
        for (String fingerprint : fingerprints) {
            crash.fingerprints().add(fingerprint);
            crashedByFingerprint
                    .computeIfAbsent(fingerprint, f -> new HashSet<>())
                    .add(instanceId);
        }
    }

    private void expire() {
        Iterator<Map.Entry<String, Crash>> oldestFirst = crashes.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Crash> entry = oldestFirst.next();
            if (crashes.size() <= MAX_CRASHES_TRACKED
                    && timers.nowMillis() - entry.getValue().at() < CRASH_TTL_MS) {
                return;
            }
            oldestFirst.remove();
            for (String fingerprint : entry.getValue().fingerprints()) {
                crashedByFingerprint.computeIfPresent(fingerprint, (f, instances) -> {
                    instances.remove(entry.getKey());
                    return instances.isEmpty() ? null : instances;
                });
            }
        }
    }
}
