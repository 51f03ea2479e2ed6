package org.siskinlead.core.fakes;

import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.forwarding.Reply;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.serving.Refusal;

/** Records the reply that a caller received. Throws when a reply is ended twice. */
public final class RecordedReply implements Reply {
    public @Nullable Refusal refusal;
    public @Nullable TargetResponse answer;
    public final StringBuilder events = new StringBuilder();
    public boolean started;
    public boolean complete;
    public boolean aborted;
    private int endCount;

    @Override
    public void refuse(Refusal given) {
        refusal = given;
        recordEnd();
    }

    @Override
    public void respond(TargetResponse given, byte[] body) {
        answer = given;
        recordEnd();
    }

    @Override
    public void startStream(TargetResponse given) {
        if (started) {
            throw new AssertionError("stream started twice");
        }
        started = true;
    }

    @Override
    public void sendEvents(byte[] bytes) {
        if (!started || endCount > 0) {
            throw new AssertionError("events sent before the stream started or after the reply ended");
        }
        events.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void endStream() {
        complete = true;
        recordEnd();
    }

    @Override
    public void abort() {
        aborted = true;
        recordEnd();
    }

    @Override
    public boolean isReaderSlow() {
        return false;
    }

    public boolean recordEnd() {
        endCount++;
        if (endCount > 1) {
            throw new AssertionError("reply ended twice");
        }
        return true;
    }

    public boolean isOpen() {
        return endCount == 0;
    }

    /** Builds the text of a stream with the given events, both ends included. */
    public static String streamText(long from, long to) {
        StringBuilder text = new StringBuilder();
        for (long id = from; id <= to; id++) {
            text.append("id: ").append(id).append("\ndata: t").append(id).append("\n\n");
        }
        return text.toString();
    }
}
