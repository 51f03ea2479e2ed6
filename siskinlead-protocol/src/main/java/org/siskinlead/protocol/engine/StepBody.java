package org.siskinlead.protocol.engine;

/**
 * Request to an engine to run its layers on one token, or on the whole context.
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param position position of the token to generate, from 0
 * @param model name of the model
 * @param version version of the model
 * @param from first layer to run
 * @param to layer after the last to run
 * @param prefill whether the input is the whole context rather than the latest token
 * @param input context, token or output of the preceding layers
 * @param priority steps with a higher value run first
 */
public record StepBody(
        String request,
        int attempt,
        int position,
        String model,
        String version,
        int from,
        int to,
        boolean prefill,
        String input,
        int priority) {}
