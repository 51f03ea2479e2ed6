package org.siskinlead.core.retrybudget;

import java.util.OptionalLong;
import org.siskinlead.core.time.Timers;

/** Time that something has lately taken: smoothed mean and deviation as in RFC 6298, section 2. */
final class RecentTime {
    private static final double MEAN_WEIGHT = 0.125;
    private static final double DEVIATION_WEIGHT = 0.25;

    private final Timers timers;
    private final long maxAgeMillis;
    private boolean isKnown;
    private double meanMillis;
    private double deviationMillis;
    private long observedAt;

    RecentTime(Timers timers, long maxAgeMillis) {
        this.timers = timers;
        this.maxAgeMillis = maxAgeMillis;
    }

    /** Gets the time within which most end, in milliseconds; empty without a recent observation. */
    OptionalLong expectedMillis() {
        return isRecent() ? OptionalLong.of(Math.round(meanMillis + deviationMillis)) : OptionalLong.empty();
    }

    void onTaken(long millis) {
        if (isRecent()) {
            deviationMillis += DEVIATION_WEIGHT * (Math.abs(millis - meanMillis) - deviationMillis);
            meanMillis += MEAN_WEIGHT * (millis - meanMillis);
        } else {
            meanMillis = millis;
            deviationMillis = millis / 2.0;
        }
        isKnown = true;
        observedAt = timers.nowMillis();
    }

    private boolean isRecent() {
        return isKnown && timers.nowMillis() - observedAt <= maxAgeMillis;
    }
}
