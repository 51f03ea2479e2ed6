package org.siskinlead.core.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.time.Timers;

/**
 * Estimates how long a service takes from the send of a request until its caller gets something: the first event of a
 * stream, or a whole buffered answer. Smoothed mean and deviation as in RFC 6298, section 2.
 */
final class AnswerTimes {
    private static final double MEAN_WEIGHT = 0.125;
    private static final double DEVIATION_WEIGHT = 0.25;
    /** Age of the last observation beyond which it says nothing about the targets of today's load. */
    private static final long MAX_AGE_MS = 10_000;

    private final Timers timers;
    private final Map<String, Estimate> estimates = new HashMap<>();

    private record Estimate(double meanMillis, double deviationMillis, long observedAt) {
        Estimate with(double millis, long now) {
            double deviation = deviationMillis + DEVIATION_WEIGHT * (Math.abs(millis - meanMillis) - deviationMillis);
            return new Estimate(meanMillis + MEAN_WEIGHT * (millis - meanMillis), deviation, now);
        }
    }

    private AnswerTimes(Timers timers) {
        this.timers = timers;
    }

    static AnswerTimes of(Timers timers) {
        return new AnswerTimes(timers);
    }

    /** Gets the time within which most requests are answered, in milliseconds; 0 while nothing is known. */
    long expectedMillis(String service) {
        Estimate estimate = estimates.get(service);
        return estimate == null || isOutdated(estimate)
                ? 0
                : Math.round(estimate.meanMillis() + estimate.deviationMillis());
    }

    /** Records the time from the send of a request to the first part of its answer. */
    void onAnswer(String service, double millis) {
        long now = timers.nowMillis();
        Estimate before = estimates.get(service);
        estimates.put(
                service,
                before == null || isOutdated(before)
                        ? new Estimate(millis, millis / 2, now)
                        : before.with(millis, now));
    }

    private boolean isOutdated(Estimate estimate) {
        return timers.nowMillis() - estimate.observedAt() > MAX_AGE_MS;
    }
}
