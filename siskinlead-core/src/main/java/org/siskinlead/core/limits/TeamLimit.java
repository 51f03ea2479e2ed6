package org.siskinlead.core.limits;

/**
 * Voted limit of a team.
 * @param maxConcurrent most requests at once
 * @param requestsPerSecond requests that may start per second
 */
public record TeamLimit(int maxConcurrent, double requestsPerSecond) {}
