package org.siskinlead.protocol.caller;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Problem details (RFC 9457) of a refusal.
 * @param type URI that identifies the kind of problem, such as {@code urn:siskinlead:queue-full}
 * @param title summary of the kind of problem
 * @param status HTTP status
 * @param detail explanation of this refusal, for a human
 * @param code stable code for programs, such as {@code queue-full}
 * @param outcome {@code not-run}, {@code failed} or {@code unknown}
 * @param retryAfterMs delay before a retry, in milliseconds; 0 if a retry does not help
 * @param request identifier of the request
 */
public record Problem(
        String type,
        String title,
        int status,
        String detail,
        String code,
        String outcome,
        @JsonProperty("retry_after_ms") long retryAfterMs,
        String request) {}
