package org.siskinlead.core.forwarding;

import java.util.List;

/**
 * A caller's request as received.
 * @param id id that the caller gave the request; a repetition by the caller has another one
 * @param method HTTP method
 * @param uri path and query as sent
 * @param host host as sent
 * @param headers header fields to forward to the target
 * @param body the complete body
 * @param credential API key of the caller, empty when none was sent
 * @param timeBudgetMillis time for which the caller waits, in milliseconds; 0 when not given
 * @param promptTokens length of the prompt in tokens, 0 when not given
 * @param maxAnswerTokens maximum length of the answer in tokens, 0 when not given
 * @param expectedAnswerTokens the caller's estimate of the answer's length in tokens, 0 when not given
 * @param lastEventId id of the last event that the caller has received, 0 for a stream from the start
 * @param sharedPromptParts ids of the parts of the prompt that other requests may share, in their order; without the last
 *     part, which belongs to the request or its session
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
        long timeBudgetMillis,
        int promptTokens,
        int maxAnswerTokens,
        int expectedAnswerTokens,
        long lastEventId,
        List<String> sharedPromptParts) {
    /**
     * Copies the list of prompt parts.
     */
    public IncomingRequest {
        sharedPromptParts = List.copyOf(sharedPromptParts);
    }

    /**
     * Extracts the path.
     * @return the URI without its query
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
