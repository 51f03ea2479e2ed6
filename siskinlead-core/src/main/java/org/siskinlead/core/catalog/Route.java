package org.siskinlead.core.catalog;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Rule that assigns requests of a host and path prefix to services, with their retry and latency policy.
 * @param name name of the route
 * @param host host name to match, in lower case
 * @param prefix path prefix to match, with a slash at both ends
 * @param kind whether requests may be repeated or are answered by a stream
 * @param services services among which requests are distributed by weight
 * @param timeoutMillis maximum duration of a request, in milliseconds
 * @param latencyObjectiveMillis objective for the time to the answer, or to the first event of a stream, in
 *     milliseconds
 * @param eventGapObjectiveMillis objective for the longest gap between events of a stream, in milliseconds; 0 if it is
 *     not answered by a stream
 * @param priority scheduling priority; 0 is the highest
 * @param maxAttempts maximum number of targets that one request may be sent to
 * @param anonymous whether requests are accepted without an API key
 * @param resumable whether an interrupted stream may be resumed on another target
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
     * Checks whether a request may be sent again after a first target may have started it.
     * @return true for safe routes and for resumable streams
     */
    public boolean isIdempotent() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Chooses a service at random, in proportion to the weights.
     * @param random source of randomness
     * @return name of the service, or an empty string if the route has none
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
