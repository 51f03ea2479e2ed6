package org.siskinlead.core.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Bounded buffer of a daemon's latest events. */
public final class Timeline {
    /** Number of events kept; the oldest is dropped beyond it. */
    public static final int CAPACITY_EVENTS = 8_192;
    /** Characters of all events kept, some of which callers choose, such as request ids and paths. */
    static final int CAPACITY_CHARACTERS = 4_194_304;
    /** Longest value of a field; the rest is cut off. */
    static final int MAX_VALUE_CHARACTERS = 4_096;

    private final String process;
    private final HybridClock clock;
    private final Consumer<TimelineEvent> listener;
    private final Deque<TimelineEvent> events = new ArrayDeque<>();
    private long characters;
    private long dropped;

    private Timeline(String process, HybridClock clock, Consumer<TimelineEvent> listener) {
        this.process = process;
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Creates an empty timeline.
     * @param process name of the VM
     * @param clock clock that timestamps the events
     * @param listener receives every event, for example to log it
     * @return the timeline
     */
    public static Timeline of(String process, HybridClock clock, Consumer<TimelineEvent> listener) {
        return new Timeline(process, clock, listener);
    }

    /**
     * Records an event.
     * @param kind kind of the event
     * @param keysAndValues names and values of its fields, alternating
     */
    public void record(EventKind kind, Object... keysAndValues) {
        Map<String, String> fields = new LinkedHashMap<>();
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            fields.put(String.valueOf(keysAndValues[i]), cut(String.valueOf(keysAndValues[i + 1])));
        }
        TimelineEvent event = new TimelineEvent(clock.tick(), process, kind, fields);
        events.addLast(event);
        characters += charactersOf(event);
        while (events.size() > CAPACITY_EVENTS || characters > CAPACITY_CHARACTERS) {
            characters -= charactersOf(events.removeFirst());
            dropped++;
        }
        listener.accept(event);
    }

    /**
     * Lists the kept events that match a filter.
     * @param filter true for the events to list
     * @return matching events, oldest first
     */
    public List<TimelineEvent> list(Predicate<TimelineEvent> filter) {
        List<TimelineEvent> matching = new ArrayList<>();
        for (TimelineEvent event : events) {
            if (filter.test(event)) {
                matching.add(event);
            }
        }
        return matching;
    }

    /**
     * Counts the events dropped because the buffer was full.
     * @return number of events dropped since the start
     */
    public long dropped() {
        return dropped;
    }

    private static String cut(String value) {
        return value.length() <= MAX_VALUE_CHARACTERS ? value : value.substring(0, MAX_VALUE_CHARACTERS) + "...";
    }

    private static long charactersOf(TimelineEvent event) {
        long count = 0;
        for (String value : event.fields().values()) {
            count += value.length();
        }
        return count;
    }
}
