package org.siskinlead.protocol.engine;

/**
 * Result of a step that an engine ran.
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param position position of the token
 * @param version version of the model that ran
 * @param from first layer that ran
 * @param to layer after the last that ran
 * @param output output of the last layer that ran
 */
public record StepAnswerBody(
        String request, int attempt, int position, String version, int from, int to, String output) {}
