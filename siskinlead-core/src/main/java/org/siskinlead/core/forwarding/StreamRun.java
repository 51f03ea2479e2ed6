package org.siskinlead.core.forwarding;

import java.io.ByteArrayOutputStream;
import org.jspecify.annotations.Nullable;

/** An attempt of a stream with the part of its response that has been received. */
final class StreamRun {
    /** Largest body of a failure that is passed on; longer ones are not answers. */
    private static final int MAX_FAILURE_BYTES = 65_536;

    private final Attempt attempt;
    private final EventSplitter splitter = new EventSplitter();
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();

    private @Nullable TargetResponse head;

    /**
     * What a part of a response adds to the stream.
     * @param bytes complete events that the caller does not have yet
     * @param lastEventId id of the last event after these
     * @param progress whether there is an event among them that continues the stream
     * @param gap whether an event is missing after them
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Delivery(byte[] bytes, long lastEventId, boolean progress, boolean gap) {}

    private StreamRun(Attempt attempt) {
        this.attempt = attempt;
    }

    static StreamRun of(Attempt attempt) {
        return new StreamRun(attempt);
    }

    // Queries

    Attempt attempt() {
        return attempt;
    }

    /** Gets the head of the response; null before it has been received. */
    @Nullable
    TargetResponse head() {
        return head;
    }

    /** Tells whether the response has ended, so far, in the middle of an event. */
    boolean isInsideEvent() {
        return splitter.isInsideEvent();
    }

    byte[] failureBody() {
        return failureBody.toByteArray();
    }

    // Commands

    void onHead(TargetResponse response) {
        head = response;
    }

    /** Adds a part of the body of a failure; returns false if it is too long for an answer. */
    boolean addToFailure(byte[] part) {
        failureBody.writeBytes(part);
        return failureBody.size() <= MAX_FAILURE_BYTES;
    }

    /**
     * Decodes a part of the body.
     * @param part the bytes, cut at any position
     * @param lastEventId id of the last event that the caller has
     * @return what can be delivered
     * @throws IllegalStateException if the part belongs to no event stream
     */
    Delivery decode(byte[] part, long lastEventId) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        long nextEventId = lastEventId;
        boolean progress = false;
        for (EventSplitter.Event event : splitter.feed(part)) {
            if (event.id() > nextEventId + 1) {
                return new Delivery(bytes.toByteArray(), nextEventId, progress, true);
            }
            if (event.id() == nextEventId + 1) {
                nextEventId++;
                progress = true;
                bytes.writeBytes(event.bytes());
            } else if (event.id() == EventSplitter.NO_ID) {
                // In a stream with ids, only the next id is progress.
                progress |= nextEventId == 0 && !event.isComment();
                bytes.writeBytes(event.bytes());
            }
        }
        return new Delivery(bytes.toByteArray(), nextEventId, progress, false);
    }
}
