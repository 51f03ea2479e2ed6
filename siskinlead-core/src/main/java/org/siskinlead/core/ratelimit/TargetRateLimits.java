package org.siskinlead.core.ratelimit;

import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** Limits that targets have named on the rate of their requests. */
public final class TargetRateLimits {
    private final Timeline timeline;
    private final Map<String, Double> perSecondByInstance = new HashMap<>();

    private TargetRateLimits(Timeline timeline) {
        this.timeline = timeline;
    }

    /**
     * Creates an empty set of limits.
     * @param timeline log of the limits that targets name
     * @return limits of no target
     */
    public static TargetRateLimits of(Timeline timeline) {
        return new TargetRateLimits(timeline);
    }

    /**
     * Handles what an answer says about the limit of its target.
     * @param instanceId the target's instance
     * @param perSecond requests a second that it takes from all daemons together, infinite when it names no limit
     */
    public void onAnswer(String instanceId, double perSecond) {
        double before = perSecondByInstance.getOrDefault(instanceId, Double.POSITIVE_INFINITY);
        if (Double.isNaN(perSecond) || perSecond == before) {
            return;
        }
        if (Double.isInfinite(perSecond)) {
            perSecondByInstance.remove(instanceId);
        } else {
            perSecondByInstance.put(instanceId, perSecond);
        }
        timeline.record(EventKind.TARGET_RATE_LIMIT, "target", instanceId, "perSecond", perSecond, "before", before);
    }
}
