package org.siskinlead.protocol.http;

/** Handles HTTP requests. Runs on a network thread, so it must not block. */
public interface ExchangeHandler {
    /**
     * Handles one request.
     * @param exchange the request; its response may be sent later, from any thread
     */
    void handle(HttpExchange exchange);
}
