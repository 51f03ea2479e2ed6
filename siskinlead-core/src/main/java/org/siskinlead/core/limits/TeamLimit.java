package org.siskinlead.core.limits;

/**
 * Limit of a team, set by its members' votes.
 * @param maxConcurrent maximum number of concurrent requests
 * @param requestsPerSecond maximum rate of request starts
 */
public record TeamLimit(int maxConcurrent, double requestsPerSecond) {}
