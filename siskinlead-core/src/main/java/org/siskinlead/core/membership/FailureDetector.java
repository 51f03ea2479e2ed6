package org.siskinlead.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinlead.core.time.Timers;

/** Records when each member was last heard from and which members refuse connections. */
final class FailureDetector {
    private static final long SILENCE_TIMEOUT_MS = 1_500;
    private static final long SILENCE_TIMEOUT_WITH_RELAYS_MS = 3_000;
    private static final long SILENCE_TIMEOUT_AFTER_REFUSAL_MS = 600;

    private final Timers timers;
    private final Map<String, Long> lastHeardAt = new HashMap<>();
    private final Map<String, Long> lastHeardDirectlyAt = new HashMap<>();
    private final Map<String, Long> refusedAt = new HashMap<>();

    FailureDetector(Timers timers) {
        this.timers = timers;
    }

    // Queries

    boolean isSilent(Head head, String id) {
        long silence = timers.nowMillis() - lastHeardAt.getOrDefault(id, timers.nowMillis());
        long timeout = Relays.inUse(head) ? SILENCE_TIMEOUT_WITH_RELAYS_MS : SILENCE_TIMEOUT_MS;
        return silence > timeout || (refusedAt.containsKey(id) && silence > SILENCE_TIMEOUT_AFTER_REFUSAL_MS);
    }

    /** Lists the members whose heartbeats reached this daemon directly within the last {@code withinMillis}. */
    List<String> heardDirectly(Head head, long withinMillis) {
        long since = timers.nowMillis() - withinMillis;
        return head.members().stream()
                .map(Member::id)
                .filter(id -> lastHeardDirectlyAt.getOrDefault(id, Long.MIN_VALUE) >= since)
                .toList();
    }

    // Commands

    void onHeardDirectly(String id) {
        lastHeardDirectlyAt.put(id, timers.nowMillis());
        onHeard(id, timers.nowMillis());
    }

    void onHeard(String id, long at) {
        lastHeardAt.merge(id, at, Math::max);
        refusedAt.remove(id);
    }

    void onRefused(String id) {
        refusedAt.putIfAbsent(id, timers.nowMillis());
    }

    /** Starts the silence time-out of members that are not tracked yet. */
    void watch(Collection<Member> members) {
        members.forEach(m -> lastHeardAt.putIfAbsent(m.id(), timers.nowMillis()));
    }

    /** Restarts all silence time-outs, because messages could not be handled while this process was paused. */
    void resetSilence() {
        lastHeardAt.replaceAll((id, at) -> timers.nowMillis());
    }
}
