package org.siskinlead.core.admission;

/** Average rate at which the requests of one level are sent, for the time that others of the level still have to wait. */
public final class LevelRate {
    /** Time over which the rate is averaged: longer than the pauses between the few sends of one of many daemons. */
    private static final double AVERAGE_MS = 3_000;
    /** Sends in that time below which the time since the last one says more. */
    private static final double MIN_SENDS = 1;

    private double sends;
    private long updatedAt;
    private long idleSince;

    private LevelRate() {}

    /**
     * Creates the rate of a level of which nothing was sent.
     * @return the rate
     */
    public static LevelRate create() {
        return new LevelRate();
    }

    /**
     * Records that requests of the level wait from now on, after a time in which none did.
     * @param now milliseconds of the monotonic clock
     */
    public void onWaiting(long now) {
        idleSince = now;
    }

    /**
     * Records a send.
     * @param now milliseconds of the monotonic clock
     */
    public void onSent(long now) {
        sends = decayed(now) + 1;
        updatedAt = now;
        idleSince = now;
    }

    /**
     * Estimates the time until a number of requests have been sent.
     * @param count number of requests
     * @param now milliseconds of the monotonic clock
     * @return milliseconds; 0 when nothing tells
     */
    public double millisFor(int count, long now) {
        double recent = decayed(now);
        return count * (recent >= MIN_SENDS ? AVERAGE_MS / recent : now - idleSince);
    }

    private double decayed(long now) {
        return sends * Math.exp((updatedAt - now) / AVERAGE_MS);
    }
}
