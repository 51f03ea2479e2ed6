package org.siskinlead.core.forwarding;

import java.util.List;

/**
 * A caller's request as it came in.
 * @param id identity of this attempt of the caller
 * @param method HTTP method
 * @param uri path and query as sent
 * @param host host as sent
 * @param headers header fields to pass on to a target
 * @param body the body
 * @param credential key of the caller, empty when none was sent
 * @param budgetMillis how long the caller waits, in milliseconds; 0 when it did not say
 * @param promptTokens tokens of the prompt, 0 when it did not say
 * @param maxAnswerTokens most tokens of the answer, 0 when it did not say
 * @param expectedAnswerTokens the caller's estimate of the tokens of the answer, 0 when it did not say
 * @param lastEventId number of the last event that the caller has, 0 for a stream from the start
 */
@SuppressWarnings("ArrayRecordComponent")
public record IncomingRequest(
        String id,
        String method,
        String uri,
        String host,
        List<HeaderField> headers,
        byte[] body,
        String credential,
        long budgetMillis,
        int promptTokens,
        int maxAnswerTokens,
        int expectedAnswerTokens,
        long lastEventId) {
    /**
     * Gets the path.
     * @return the request target without its query
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
