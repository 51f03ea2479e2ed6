package org.siskinlead.core.catalog;

/**
 * Size and time limits on requests from callers.
 * @param maxHeaderBytes maximum size of the header section, in bytes
 * @param maxBodyBytes maximum size of the body, in bytes
 * @param headerTimeoutMillis maximum time to receive a header section, in milliseconds
 * @param idleTimeoutMillis maximum idle time of a connection between requests, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
