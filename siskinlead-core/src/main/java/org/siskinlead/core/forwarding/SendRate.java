package org.siskinlead.core.forwarding;

/** Rate of sends, which is lower than one in the time for which requests have waited without any. */
final class SendRate {
    private static final long WINDOW_MS = 1_000;

    private long waitingSince;
    private long lastSentAt;
    private long windowStartedAt;
    private int sentInWindow;
    private int sentInPreviousWindow;

    /** Records that requests wait from now on, after a time in which none did. */
    void onWaiting(long now) {
        waitingSince = now;
    }

    void onSent(long now) {
        if (now - windowStartedAt >= WINDOW_MS) {
            sentInPreviousWindow = now - windowStartedAt < 2 * WINDOW_MS ? sentInWindow : 0;
            sentInWindow = 0;
            windowStartedAt = now;
        }
        sentInWindow++;
        lastSentAt = now;
    }

    /** Estimates the time until a number of requests have been sent, in milliseconds; 0 when nothing is known. */
    double millisFor(int sends, boolean areWaiting, long now) {
        long age = now - windowStartedAt;
        int sent =
                age < WINDOW_MS ? Math.max(sentInWindow, sentInPreviousWindow) : age < 2 * WINDOW_MS ? sentInWindow : 0;
        long withoutSend = areWaiting ? now - Math.max(lastSentAt, waitingSince) : 0;
        double atMost = withoutSend > 0 ? 1.0 / withoutSend : Double.POSITIVE_INFINITY;
        double perMillis = Math.max(sent / (double) WINDOW_MS, atMost);
        return perMillis > 0 ? sends / perMillis : 0;
    }
}
