package org.siskinlead.core.catalog;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Where requests of a host and path prefix go, and what may be done with them.
 * @param name name of the route
 * @param host host of its requests, in lower case
 * @param prefix path prefix, with a slash at both ends
 * @param kind what may be done with its requests
 * @param services services that share its requests
 * @param timeoutMillis longest time a request is kept waiting, in milliseconds
 * @param latencyObjectiveMillis time within which an answer, or the first event of one, is worth most, in milliseconds
 * @param eventGapObjectiveMillis longest pause between events of an answer in time, in milliseconds; 0 when it has no events
 * @param priority rank, 0 is served first
 * @param maxAttempts most targets that one request may be sent to
 * @param anonymous whether requests need no key
 * @param resumable whether a broken stream may go on at another target
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<WeightedService> services,
        long timeoutMillis,
        long latencyObjectiveMillis,
        long eventGapObjectiveMillis,
        int priority,
        int maxAttempts,
        boolean anonymous,
        boolean resumable) {
    /**
     * Tells whether a request may run again when its first run may have begun.
     * @return true for safe routes and for streams that may be resumed
     */
    public boolean isIdempotent() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Draws a service by weight.
     * @param random source of randomness
     * @return name of the service, empty when the route has none
     */
    public String chooseService(RandomGenerator random) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        int drawn = total > 0 ? random.nextInt(total) : 0;
        for (WeightedService candidate : services) {
            drawn -= candidate.weight();
            if (drawn < 0) {
                return candidate.service();
            }
        }
        return services.isEmpty() ? "" : services.get(0).service();
    }
}
