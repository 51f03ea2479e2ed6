package org.siskinlead.core.serving;

/**
 * A call to a plain service.
 * @param request identifier of the request
 * @param team team of the caller
 * @param service name of the service
 * @param operation operation of the service
 * @param key idempotency key, empty when there is none
 * @param body body of the call
 */
public record ServiceCall(String request, String team, String service, String operation, String key, String body) {}
