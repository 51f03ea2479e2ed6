package org.siskinlead.core.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.siskinlead.core.time.Timers;

/**
 * Sends that ended without an answer of their target, for example at a timeout. If the target turns out to have ended, they
 * are suspects of its crash; if it answers a later send, they are not.
 */
public final class UnansweredSends {
    /** Time for which a send is remembered; longer than an entry outlives its target. */
    static final long TTL_MS = 60_000;
    /** Sends remembered for one instance. The cause of a crash is among the oldest of those without an answer. */
    static final int MAX_SENDS_PER_INSTANCE = 200;

    /** Sends remembered in all, so that callers who leave early cannot use up the memory. */
    static final int MAX_SENDS = 4_000;

    private final Timers timers;
    private final Map<String, List<Send>> byInstance = new LinkedHashMap<>();
    private int sendCount;

    private record Send(Suspect suspect, long sentAt, long endedAt) {}

    private UnansweredSends(Timers timers) {
        this.timers = timers;
    }

    /**
     * Creates an empty record.
     * @param timers clock
     * @return the record
     */
    public static UnansweredSends of(Timers timers) {
        return new UnansweredSends(timers);
    }

    // Queries

    /**
     * Lists the sends to an instance of a target.
     * @param instanceId the instance
     * @return suspects, oldest first
     */
    public List<Suspect> on(String instanceId) {
        return byInstance.getOrDefault(instanceId, List.of()).stream()
                .filter(send -> timers.nowMillis() - send.endedAt() < TTL_MS)
                .map(Send::suspect)
                .toList();
    }

    /**
     * Tells whether no send is remembered.
     * @return true if {@link #onAnswered} has no effect
     */
    public boolean isEmpty() {
        return byInstance.isEmpty();
    }

    // Commands

    /**
     * Adds a send that has ended.
     * @param instanceIds instances of the targets that may have run the request
     * @param suspect the send
     * @param sentAt time at which it was sent, in milliseconds of the monotonic clock
     */
    public void add(Collection<String> instanceIds, Suspect suspect, long sentAt) {
        expire();
        for (String instanceId : instanceIds) {
            List<Send> sends = byInstance.computeIfAbsent(instanceId, id -> new ArrayList<>());
            if (sends.size() < MAX_SENDS_PER_INSTANCE) {
                sends.add(new Send(suspect, sentAt, timers.nowMillis()));
                sendCount++;
            }
        }
        while (sendCount > MAX_SENDS) {
            List<Send> oldest = byInstance.remove(byInstance.keySet().iterator().next());
            sendCount -= oldest == null ? 0 : oldest.size();
        }
    }

    /**
     * Handles that an instance of a target has answered a send, and so has survived those before.
     * @param instanceId the instance
     * @param sentAt time at which the answered request was sent, in milliseconds of the monotonic clock
     */
    public void onAnswered(String instanceId, long sentAt) {
        byInstance.computeIfPresent(instanceId, (id, sends) -> {
            sendCount -= sends.size();
            sends.removeIf(send -> send.sentAt() <= sentAt);
            sendCount += sends.size();
            return sends.isEmpty() ? null : sends;
        });
    }

    private void expire() {
        long now = timers.nowMillis();
        byInstance.values().removeIf(sends -> {
            boolean expired = now - sends.get(sends.size() - 1).endedAt() >= TTL_MS;
            sendCount -= expired ? sends.size() : 0;
            return expired;
        });
    }
}
