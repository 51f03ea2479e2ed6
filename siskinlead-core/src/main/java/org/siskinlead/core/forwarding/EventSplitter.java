package org.siskinlead.core.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a {@code text/event-stream} (WHATWG HTML, section 9.2) into complete events with their ids. */
final class EventSplitter {
    /** Id of an event without a numeric {@code id} field. */
    static final long NO_ID = -1;

    private static final int MAX_EVENT_BYTES = 65_536;

    private final ByteArrayOutputStream event = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /** A complete event, including the blank line that ends it. */
    @SuppressWarnings("ArrayRecordComponent")
    record Event(long id, byte[] bytes) {
        /** Tells whether the event consists of comment lines, which servers send to keep a connection open. */
        boolean isComment() {
            return bytes[0] == ':';
        }
    }

    /**
     * Parses the next bytes of the stream.
     * @param part the next bytes, cut at any position
     * @return events that these bytes complete
     * @throws IllegalStateException when more than 64 KiB of an event has arrived without its end
     */
    List<Event> feed(byte[] part) {
        List<Event> complete = new ArrayList<>();
        for (byte next : part) {
            event.write(next);
            if (next == '\n') {
                if (lineEmpty && event.size() > 1) {
                    complete.add(new Event(id(event.toByteArray()), event.toByteArray()));
                    event.reset();
                }
                lineEmpty = true;
            } else if (next != '\r') {
                lineEmpty = false;
            }
        }
        if (event.size() > MAX_EVENT_BYTES) {
            throw new IllegalStateException("incomplete event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
        return complete;
    }

    /**
     * Tells whether an incomplete event is buffered.
     * @return true when the last event has no end yet
     */
    boolean isInsideEvent() {
        return event.size() > 0;
    }

    private static long id(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        for (String line : text.split("\r?\n", -1)) {
            if (line.startsWith("id:")) {
                try {
                    return Long.parseLong(line.substring("id:".length()).trim());
                } catch (NumberFormatException e) {
                    return NO_ID;
                }
            }
        }
        return NO_ID;
    }
}
