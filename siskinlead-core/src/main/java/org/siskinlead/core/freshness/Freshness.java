package org.siskinlead.core.freshness;

import org.siskinlead.core.time.Timers;

/**
 * Keeps the time of the last proof that the configuration read is the newest. The age of a proof counts from the moment
 * at which the proving call was sent. Steady time stands still while a machine is suspended and the time of day may
 * jump, so a proof also ends when the two have drifted apart.
 */
public final class Freshness {
    /** Drift between steady time and time of day that shows a jump or a suspension, in milliseconds. */
    static final long MAX_DRIFT_MS = 300;

    private final Timers timers;
    private final long maxAgeMillis;
    private boolean hasProof;
    private long proofSteadyMillis;
    private long proofDriftMillis;

    private Freshness(Timers timers, long maxAgeMillis) {
        this.timers = timers;
        this.maxAgeMillis = maxAgeMillis;
    }

    /**
     * Creates a state without proof.
     * @param timers time
     * @param maxAgeMillis age at which a proof ends, in milliseconds
     * @return the state
     */
    public static Freshness of(Timers timers, long maxAgeMillis) {
        return new Freshness(timers, maxAgeMillis);
    }

    /** A moment on both clocks. */
    public record ClockReading(long steadyMillis, long wallMillis) {
        /**
         * Reads both clocks.
         * @param timers time
         * @return the present moment
         */
        public static ClockReading now(Timers timers) {
            return new ClockReading(timers.nowMillis(), timers.wallMillis());
        }
    }

    // Queries

    /**
     * Tells whether the configuration is proven to be recent.
     * @return false before the first proof, after its end, and after a jump of a clock
     */
    public boolean isFresh() {
        return hasProof && ageMillis() <= maxAgeMillis && !hasClockJumped();
    }

    /**
     * Gets the age of the last proof.
     * @return steady milliseconds since the proving call was sent; meaningless before the first proof
     */
    public long ageMillis() {
        return timers.nowMillis() - proofSteadyMillis;
    }

    private boolean hasClockJumped() {
        return Math.abs(timers.wallMillis() - timers.nowMillis() - proofDriftMillis) > MAX_DRIFT_MS;
    }

    // Commands

    /**
     * Takes a proof. A call during which a clock jumped proves nothing.
     * @param sent when the proving call was sent
     */
    public void recordProof(ClockReading sent) {
        long driftWhenSent = sent.wallMillis() - sent.steadyMillis();
        long driftNow = timers.wallMillis() - timers.nowMillis();
        if (Math.abs(driftNow - driftWhenSent) > MAX_DRIFT_MS) {
            return;
        }
        if (!hasProof || sent.steadyMillis() >= proofSteadyMillis) {
            hasProof = true;
            proofSteadyMillis = sent.steadyMillis();
            proofDriftMillis = driftNow;
        }
    }
}
