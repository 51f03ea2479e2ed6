package org.siskinlead.core.fakes;

import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.forwarding.Reply;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.serving.Refusal;

/** What a caller saw. Fails when an answer is ended twice. */
public final class RecordedReply implements Reply {
    public @Nullable Refusal refusal;
    public @Nullable TargetResponse answer;
    public final StringBuilder events = new StringBuilder();
    public boolean started;
    public boolean complete;
    public boolean aborted;
    private int ends;

    @Override
    public void refuse(Refusal given) {
        refusal = given;
        ended();
    }

    @Override
    public void respond(TargetResponse given, byte[] body) {
        answer = given;
        ended();
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
        if (!started || ends > 0) {
            throw new AssertionError("events outside a stream");
        }
        events.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void endStream() {
        complete = true;
        ended();
    }

    @Override
    public void abort() {
        aborted = true;
        ended();
    }

    @Override
    public boolean isReaderSlow() {
        return false;
    }

    public boolean ended() {
        ends++;
        if (ends > 1) {
            throw new AssertionError("answered twice");
        }
        return true;
    }

    public boolean isOpen() {
        return ends == 0;
    }

    /** Text that a whole stream of events has. */
    public static String whole(long from, long to) {
        StringBuilder text = new StringBuilder();
        for (long id = from; id <= to; id++) {
            text.append("id: ").append(id).append("\ndata: t").append(id).append("\n\n");
        }
        return text.toString();
    }
}
