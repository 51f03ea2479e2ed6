package org.siskinlead.protocol.caller;

/**
 * Server-sent event of a streamed completion.
 * @param id identifier of the request
 * @param position position of the token in the completion, from 0
 * @param text text of the token
 */
public record TokenEvent(String id, int position, String text) {}
