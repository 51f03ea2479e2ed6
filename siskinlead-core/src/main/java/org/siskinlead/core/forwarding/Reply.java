package org.siskinlead.core.forwarding;

import org.siskinlead.core.serving.Refusal;

/** Way back to a caller. Exactly one of {@code refuse}, {@code answer}, {@code endStream} and {@code abort} ends it. */
public interface Reply {
    /**
     * Answers with a refusal of this daemon's own.
     * @param refusal why, and what is known of the work
     */
    void refuse(Refusal refusal);

    /**
     * Answers with a target's whole answer.
     * @param answer status and header section
     * @param body the whole body
     */
    void respond(TargetResponse answer, byte[] body);

    /**
     * Begins a streamed answer.
     * @param answer status and header section of the target that began it
     */
    void startStream(TargetResponse answer);

    /**
     * Sends whole events of a streamed answer.
     * @param events the bytes
     */
    void sendEvents(byte[] events);

    /** Ends a streamed answer as complete. */
    void endStream();

    /** Closes the connection, so that the answer is seen to be incomplete. */
    void abort();

    /**
     * Tells whether the caller reads so slowly that it holds up memory.
     * @return true above the bound on unsent bytes
     */
    boolean isReaderSlow();
}
