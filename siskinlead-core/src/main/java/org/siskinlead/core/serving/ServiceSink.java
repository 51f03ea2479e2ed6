package org.siskinlead.core.serving;

/** Receives the answer to one call to a plain service. */
public interface ServiceSink {
    /**
     * Ends the call with the service's answer.
     * @param status HTTP status
     * @param body body of the answer
     * @param replayed whether it is the recorded answer to an earlier call with the same key
     */
    void onAnswer(int status, String body, boolean replayed);

    /**
     * Ends the call without an answer.
     * @param refusal reason and outcome
     */
    void onRefused(Refusal refusal);
}
