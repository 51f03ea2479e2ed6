package org.siskinlead.daemon;

/** Limits the log lines of one kind, which untrusted input can cause without end. */
public final class LineRate {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final int maxPerSecond;
    private long secondStartedAtNanos = System.nanoTime();
    private int linesThisSecond;

    private LineRate(int maxPerSecond) {
        this.maxPerSecond = maxPerSecond;
    }

    /**
     * Creates a limit.
     * @param maxLines lines at most in a second
     * @return the limit, of which nothing is used
     */
    public static LineRate perSecond(int maxLines) {
        return new LineRate(maxLines);
    }

    /**
     * Takes a line.
     * @return whether it may be written
     */
    public synchronized boolean tryAcquire() {
        long now = System.nanoTime();
        if (now - secondStartedAtNanos >= SECOND_NANOS) {
            secondStartedAtNanos = now;
            linesThisSecond = 0;
        }
        if (linesThisSecond >= maxPerSecond) {
            return false;
        }
        linesThisSecond++;
        return true;
    }
}
