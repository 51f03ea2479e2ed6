package org.siskinlead.protocol.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * Body of a completion request, in the format that clients of model services commonly use.
 * @param model name of the model
 * @param maxTokens most tokens to generate; 0 for the default
 * @param stream whether to send the tokens as server-sent events
 * @param team team of the caller; if given, it must match the credential
 * @param deadlineMs longest time that the caller waits, in milliseconds; 0 for the default
 */
public record CompletionBody(
        @Nullable String model,
        @Nullable String prompt,
        @JsonProperty("max_tokens") int maxTokens,
        boolean stream,
        @Nullable String team,
        @JsonProperty("deadline_ms") long deadlineMs) {}
