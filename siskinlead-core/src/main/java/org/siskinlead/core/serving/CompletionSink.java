package org.siskinlead.core.serving;

/** Receives the answer to one completion request. */
public interface CompletionSink {
    /**
     * Delivers the next token.
     * @param position index of the token in the answer, from 0
     * @param token the token
     */
    void onToken(int position, String token);

    /** Ends the request after its whole answer was delivered. */
    void onComplete();

    /**
     * Ends the request with an incomplete answer or none.
     * @param refusal reason and outcome
     */
    void onRefused(Refusal refusal);

    /**
     * Returns whether the caller has disconnected.
     * @return true when the answer can no longer be delivered
     */
    boolean isCallerDisconnected();
}
