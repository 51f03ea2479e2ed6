package org.siskinlead.core.serving;

/**
 * A request for a completion.
 * @param id identifier of the request
 * @param team team of the caller
 * @param model name of the model
 * @param prompt text to complete
 * @param maxTokens number of tokens to generate
 * @param deadlineMillis how long the caller waits, in milliseconds
 */
public record CompletionRequest(
        String id, String team, String model, String prompt, int maxTokens, long deadlineMillis) {}
