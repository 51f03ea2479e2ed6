package org.siskinlead.daemon;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.TimelineEvent;

/** Writes timeline events to the log at a limited rate; lines above the limit are dropped and counted. */
public final class EventLog {
    private static final Logger LOG = LogManager.getLogger("events");
    /** Twice the rate of request events on the busiest VM, by the load figures that users gave. */
    private static final int MAX_LINES_PER_SECOND = 400;

    private static final long SECOND_NANOS = 1_000_000_000;
    private static long secondStartedAtNanos;
    private static int linesThisSecond;
    private static long dropped;

    private EventLog() {}

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
        Level level = levelOf(event.kind());
        if (!LOG.isEnabled(level) || !tryAcquireLine()) {
            return;
        }
        StringMapMessage message = new StringMapMessage();
        message.put("event", event.kind().name());
        event.fields().forEach(message::put);
        LOG.log(level, message);
    }

    private static synchronized boolean tryAcquireLine() {
        long now = System.nanoTime();
        if (now - secondStartedAtNanos >= SECOND_NANOS) {
            secondStartedAtNanos = now;
            linesThisSecond = 0;
        }
        if (linesThisSecond >= MAX_LINES_PER_SECOND) {
            dropped++;
            return false;
        }
        linesThisSecond++;
        return true;
    }

    private static Level levelOf(EventKind kind) {
        return switch (kind) {
            case LIMIT_MOVED, KEY_CLAIMED, KEY_RESOLVED -> Level.DEBUG;
            case INVARIANT_VIOLATED -> Level.ERROR;
            default -> Level.INFO;
        };
    }
}
