package org.siskinlead.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinlead.core.time.Timers;

/** Notes when each member was last heard and which addresses refuse connections. */
final class FailureDetector {
    private static final long SILENCE_TIMEOUT_MS = 1_500;
    private static final long SILENCE_TIMEOUT_WITH_RELAYS_MS = 3_000;
    private static final long SILENCE_TIMEOUT_AFTER_REFUSAL_MS = 600;

    private final Timers timers;
    private final Map<String, Long> heardAt = new HashMap<>();
    private final Map<String, Long> heardDirectlyAt = new HashMap<>();
    private final Map<String, Long> refusedAt = new HashMap<>();

    FailureDetector(Timers timers) {
        this.timers = timers;
    }

    // Queries

    boolean isSilent(Head head, String id) {
        long silence = timers.nowMillis() - heardAt.getOrDefault(id, timers.nowMillis());
        long longest = Relays.inUse(head) ? SILENCE_TIMEOUT_WITH_RELAYS_MS : SILENCE_TIMEOUT_MS;
        return silence > longest || (refusedAt.containsKey(id) && silence > SILENCE_TIMEOUT_AFTER_REFUSAL_MS);
    }

    /** Lists the members that sent a heartbeat here within a time. */
    List<String> heardDirectly(Head head, long withinMillis) {
        long since = timers.nowMillis() - withinMillis;
        return head.members().stream()
                .map(Member::id)
                .filter(id -> heardDirectlyAt.getOrDefault(id, Long.MIN_VALUE) >= since)
                .toList();
    }

    // Commands

    void heardDirectly(String id) {
        heardDirectlyAt.put(id, timers.nowMillis());
        onHeard(id, timers.nowMillis());
    }

    void onHeard(String id, long at) {
        heardAt.merge(id, at, Math::max);
        refusedAt.remove(id);
    }

    void onRefused(String id) {
        refusedAt.putIfAbsent(id, timers.nowMillis());
    }

    /** Begins to watch members that are new. */
    void watch(Collection<Member> members) {
        members.forEach(m -> heardAt.putIfAbsent(m.id(), timers.nowMillis()));
    }

    /** Forgives all silence, after a pause of this process itself. */
    void resetSilence() {
        heardAt.replaceAll((id, at) -> timers.nowMillis());
    }
}
