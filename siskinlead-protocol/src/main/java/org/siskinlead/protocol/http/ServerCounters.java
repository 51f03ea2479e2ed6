package org.siskinlead.protocol.http;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.siskinlead.protocol.http.ReceivedRequest.Refusal;

/** Counts the requests that the servers of a process refused unread, and the connections that ended, by reason. */
public final class ServerCounters {
    private final Map<ConnectionEnd, AtomicLong> ends = new EnumMap<>(ConnectionEnd.class);
    private final Map<Refusal, AtomicLong> refusals = new EnumMap<>(Refusal.class);

    private ServerCounters() {
        for (ConnectionEnd end : ConnectionEnd.values()) {
            ends.put(end, new AtomicLong());
        }
        for (Refusal refusal : Refusal.values()) {
            refusals.put(refusal, new AtomicLong());
        }
    }

    static ServerCounters create() {
        return new ServerCounters();
    }

    // Queries

    /**
     * Gets all counts since the start.
     * @return counts by name, such as {@code closed.idle_timeout} and {@code refused.malformed}
     */
    public Map<String, Long> values() {
        Map<String, Long> values = new TreeMap<>();
        ends.forEach((end, count) -> values.put("closed." + nameOf(end), count.get()));
        refusals.forEach((refusal, count) -> {
            if (refusal != Refusal.NONE) {
                values.put("refused." + nameOf(refusal), count.get());
            }
        });
        return values;
    }

    /**
     * Gets the counts of what the limits of the servers caused.
     * @return counts by name, without those that are 0
     */
    public Map<String, Long> limitCounts() {
        Map<String, Long> values = values();
        for (ConnectionEnd end : ConnectionEnd.values()) {
            if (!end.isLimit()) {
                values.remove("closed." + nameOf(end));
            }
        }
        values.values().removeIf(count -> count == 0);
        return values;
    }

    // Commands

    void increment(ConnectionEnd end) {
        AtomicLong count = ends.get(end);
        if (count != null) {
            count.incrementAndGet();
        }
    }

    void increment(Refusal refusal) {
        AtomicLong count = refusals.get(refusal);
        if (count != null) {
            count.incrementAndGet();
        }
    }

    private static String nameOf(Enum<?> reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }
}
