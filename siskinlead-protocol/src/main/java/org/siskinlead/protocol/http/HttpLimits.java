package org.siskinlead.protocol.http;

/**
 * Limits on what a peer may send on a connection.
 * @param maxBodyBytes largest body in bytes
 * @param maxHeaderBytes largest header section in bytes
 * @param idleMillis longest silence between requests or within a body, in milliseconds; then the connection is closed
 * @param headerMillis longest time from the first byte of a request to the end of its header section, in milliseconds
 */
public record HttpLimits(int maxBodyBytes, int maxHeaderBytes, long idleMillis, long headerMillis) {
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Limits for connections of callers. */
    public static final HttpLimits CALLERS = new HttpLimits(1_000_000, 16_384, 60);
    /** Limits for connections within the platform. */
    public static final HttpLimits PLATFORM = new HttpLimits(2_000_000, 16_384, 120);

    /**
     * Creates limits with one timeout for both silence and a header section.
     * @param maxBodyBytes largest body in bytes
     * @param maxHeaderBytes largest header section in bytes
     * @param idleSeconds longest silence, and longest time for a header section, in seconds
     */
    public HttpLimits(int maxBodyBytes, int maxHeaderBytes, int idleSeconds) {
        this(maxBodyBytes, maxHeaderBytes, idleSeconds * MILLIS_PER_SECOND, idleSeconds * MILLIS_PER_SECOND);
    }
}
