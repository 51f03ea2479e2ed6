package org.siskinlead.protocol.http;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the requests that the servers of a process refused unread, and the connections that they closed. */
final class ServerCounters {
    /** What is counted. */
    enum Kind {
        /** Requests that are not valid HTTP, or whose request line or header section is too long to decode. */
        REFUSED_MALFORMED,
        /** Requests whose header section exceeds its limit. */
        REFUSED_HEADER_TOO_LARGE,
        /** Requests whose body exceeds its limit. */
        REFUSED_BODY_TOO_LARGE,
        /** Requests for which there was no memory. */
        REFUSED_NO_MEMORY,
        /** Connections without a request, or with an incomplete one, for too long. */
        CLOSED_TIMEOUT,
        /** Connections that were closed to admit others, or not admitted because all others were in use. */
        CLOSED_TOO_MANY,
        /** Connections whose peer read nothing of a response for too long. */
        CLOSED_UNREAD_RESPONSE
    }

    private final Map<Kind, AtomicLong> counts = new EnumMap<>(Kind.class);

    ServerCounters() {
        for (Kind kind : Kind.values()) {
            counts.put(kind, new AtomicLong());
        }
    }

    /** Gets all counts since the start, by the name of their kind in lower case. */
    Map<String, Long> values() {
        Map<String, Long> values = new TreeMap<>();
        counts.forEach((kind, count) -> values.put(kind.name().toLowerCase(Locale.ROOT), count.get()));
        return values;
    }

    void increment(Kind kind) {
        AtomicLong count = counts.get(kind);
        if (count != null) {
            count.incrementAndGet();
        }
    }
}
