package org.siskinlead.daemon;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.StringMapMessage;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.TimelineEvent;

/**
 * Writes timeline events to the log at a limited rate; lines above the limit are dropped and counted. Events can be held
 * back until logging is set up.
 */
public final class EventLog {
    private static final LazyLogger LOG = LazyLogger.of("events");
    /** Twice the rate of request events on the busiest VM, by the load figures that users gave. */
    private static final int MAX_LINES_PER_SECOND = 400;
    /** Further lines that only warnings may use, so that requests cut together at a stop are all named. */
    private static final int MAX_WARNINGS_PER_SECOND = 200;

    /** Events held back at most; the start of a daemon records one for each target and daemon. */
    private static final int MAX_HELD_EVENTS = 2_000;

    private static final long SECOND_NANOS = 1_000_000_000;
    private static long secondStartedAtNanos;
    private static int linesThisSecond;
    private static long dropped;
    private static @Nullable Deque<TimelineEvent> held;

    private EventLog() {}

    /** Holds events back from now on, up to the limit of lines for a second, until {@link #release()}. */
    public static synchronized void hold() {
        held = new ArrayDeque<>();
    }

    /** Writes the events held back, each with the time at which it was recorded, and all later ones at once. */
    public static void release() {
        Deque<TimelineEvent> events = takeHeld();
        for (TimelineEvent event : events) {
            log(event, Instant.ofEpochMilli(event.time().wallMillis()).toString());
        }
    }

    private static synchronized Deque<TimelineEvent> takeHeld() {
        Deque<TimelineEvent> events = held;
        held = null;
        return events == null ? new ArrayDeque<>() : events;
    }

    /** Holds an event back if events are held; one too many is dropped. */
    private static synchronized boolean holdIfHolding(TimelineEvent event) {
        if (held == null) {
            return false;
        }
        if (held.size() < MAX_HELD_EVENTS) {
            held.add(event);
        } else {
            dropped++;
        }
        return true;
    }

    /**
     * Counts the lines dropped because of the rate limit.
     * @return lines since the start
     */
    public static synchronized long dropped() {
        return dropped;
    }

    /**
     * Writes an event, or drops it when the limit of lines per second is reached.
     * @param event event whose kind determines the log level
     */
    public static void write(TimelineEvent event) {
        if (holdIfHolding(event)
                || !LOG.get().isEnabled(levelOf(event.kind()))
                || !tryAcquireLine(levelOf(event.kind()))) {
            return;
        }
        log(event, "");
    }

    /** Logs an event; with the time at which it was recorded if that is not now. */
    private static void log(TimelineEvent event, String recordedAt) {
        StringMapMessage message = new StringMapMessage();
        message.put("event", event.kind().name());
        if (!recordedAt.isEmpty()) {
            message.put("recordedAt", recordedAt);
        }
        event.fields().forEach(message::put);
        LOG.get().log(levelOf(event.kind()), message);
    }

    private static synchronized boolean tryAcquireLine(Level level) {
        long now = System.nanoTime();
        if (now - secondStartedAtNanos >= SECOND_NANOS) {
            secondStartedAtNanos = now;
            linesThisSecond = 0;
        }
        int maxLines = MAX_LINES_PER_SECOND + (level.isMoreSpecificThan(Level.WARN) ? MAX_WARNINGS_PER_SECOND : 0);
        if (linesThisSecond >= maxLines) {
            dropped++;
            return false;
        }
        linesThisSecond++;
        return true;
    }

    private static Level levelOf(EventKind kind) {
        return switch (kind) {
            case LIMIT_MOVED, KEY_CLAIMED, KEY_RESOLVED -> Level.DEBUG;
            case REQUEST_CUT -> Level.WARN;
            case INVARIANT_VIOLATED -> Level.ERROR;
            default -> Level.INFO;
        };
    }
}
