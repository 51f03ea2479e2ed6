package org.siskinlead.protocol.http;

/** Who ended a connection to a server, and why. */
public enum ConnectionEnd {
    /** The peer closed the connection, or it failed. */
    PEER("the peer closed the connection"),
    /** The last response was sent, which said that the connection would be closed. */
    LAST_RESPONSE("the last response was sent"),
    /** The handler of a request gave up its response. */
    RESPONSE_ABORTED("the response was given up"),
    IDLE_TIMEOUT("no request arrived in time"),
    HEADER_TIMEOUT("the header section did not arrive in time"),
    BODY_TIMEOUT("the body did not arrive in time"),
    /** The peer read nothing of a response for too long. */
    UNREAD_RESPONSE("the response was not read in time"),
    /** Of all connections it held most bytes of responses that are not sent, and all together held too many. */
    UNSENT_BYTES("too many bytes of unread responses"),
    /** It was closed to make room for others, or not admitted since all others were in use. */
    TOO_MANY_CONNECTIONS("too many connections"),
    /** Of all connections it held most bytes that were not decoded, and all together held too many. */
    UNDECODED_BYTES("too many bytes of further requests"),
    /** More followed a refused request than the server skips to find the next one. */
    SKIPPED_BODY("the body of a refused request is too large"),
    /** An exception within the server. */
    FAILURE("the connection failed within the server");

    private final String description;

    ConnectionEnd(String description) {
        this.description = description;
    }

    /**
     * Describes the reason.
     * @return a clause for logs
     */
    public String description() {
        return description;
    }

    /**
     * Tells whether a limit of the server was the reason.
     * @return false if the peer or the handler decided, or the connection was idle
     */
    public boolean isLimit() {
        return switch (this) {
            case PEER, LAST_RESPONSE, RESPONSE_ABORTED, IDLE_TIMEOUT -> false;
            default -> true;
        };
    }
}
