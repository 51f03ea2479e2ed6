package org.siskinlead.protocol.engine;

/**
 * Request to an engine to discard the state of an attempt.
 * @param request identifier of the request
 * @param attempt number of the attempt
 */
public record CancelBody(String request, int attempt) {}
