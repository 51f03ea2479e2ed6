package org.siskinlead.core.forwarding;

import org.siskinlead.core.serving.Refusal;

/**
 * Response to a caller, ended by exactly one of {@code refuse}, {@code respond}, {@code endStream}, {@code abort},
 * unless the caller disconnects first.
 */
public interface Reply {
    /**
     * Responds with a refusal by this daemon.
     * @param refusal reason, and whether the request may have been executed
     */
    void refuse(Refusal refusal);

    /**
     * Responds with a target's complete response.
     * @param response status and header section
     * @param body the complete body
     */
    void respond(TargetResponse response, byte[] body);

    /**
     * Starts a streamed response.
     * @param response status and header section sent by the target that started the stream
     */
    void startStream(TargetResponse response);

    /**
     * Sends events of a streamed response.
     * @param events the bytes of one or more complete events
     */
    void sendEvents(byte[] events);

    /** Ends a streamed response as complete. */
    void endStream();

    /** Closes the connection, so that the caller sees an incomplete response. */
    void abort();

    /**
     * Tells whether the caller reads so slowly that too much unsent data is buffered.
     * @return true above the limit of unsent bytes
     */
    boolean isReaderSlow();
}
