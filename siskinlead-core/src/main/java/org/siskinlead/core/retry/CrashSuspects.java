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
 * Requests that were running on targets when these crashed. A request found running at the crash of several targets is
 * taken for their cause and sent to no further one.
 */
public final class CrashSuspects {
    /** Crashed targets at which a request stops being an innocent bystander. */
    static final int MAX_CRASHES = 2;
    /** Time for which a crash is remembered, in milliseconds; longer than any caller keeps sending a request again. */
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
     * @param timers time
     * @return the record
     */
    public static CrashSuspects of(Timers timers) {
        return new CrashSuspects(timers);
    }

    /**
     * Tells whether any request is suspected at all.
     * @return false when no crash is remembered
     */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Tells whether a request may be sent to a target.
     * @param fingerprint what identifies the request over all its attempts
     * @return true when too many targets crashed while they ran it
     */
    public boolean isBlocked(String fingerprint) {
        expire();
        return crashedByFingerprint.getOrDefault(fingerprint, Set.of()).size() >= MAX_CRASHES;
    }

    /**
     * Takes note of a crash. Notes of the same crash from several daemons add up.
     * @param instanceId life of the target that crashed
     * @param fingerprints requests that were running on it
     */
    public void onCrash(String instanceId, Collection<String> fingerprints) {
        expire();
        Crash crash = crashes.computeIfAbsent(instanceId, l -> new Crash(timers.nowMillis(), new HashSet<>()));
        for (String fingerprint : fingerprints) {
            crash.fingerprints().add(fingerprint);
            crashedByFingerprint
                    .computeIfAbsent(fingerprint, f -> new HashSet<>())
                    .add(instanceId);
        }
    }

    private void expire() {
        Iterator<Map.Entry<String, Crash>> oldest = crashes.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<String, Crash> entry = oldest.next();
            if (crashes.size() <= MAX_CRASHES_TRACKED
                    && timers.nowMillis() - entry.getValue().at() < CRASH_TTL_MS) {
                return;
            }
            oldest.remove();
            for (String fingerprint : entry.getValue().fingerprints()) {
                crashedByFingerprint.computeIfPresent(fingerprint, (f, lives) -> {
                    lives.remove(entry.getKey());
                    return lives.isEmpty() ? null : lives;
                });
            }
        }
    }
}
