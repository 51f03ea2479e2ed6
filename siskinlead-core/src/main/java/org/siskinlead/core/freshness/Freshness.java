package org.siskinlead.core.freshness;

import org.siskinlead.core.time.Timers;

/**
 * Tracks when the store last confirmed that the state known here, such as the configuration or a lease, is current. The
 * age of this proof is counted from the time at which the confirmed call was sent. Monotonic time stops while a machine
 * is suspended and wall-clock time may jump, so a proof also ends when the two have drifted apart.
 */
public final class Freshness {
    /** Change of the offset between the clocks above which one has jumped or the machine was suspended. */
    static final long MAX_DRIFT_MS = 300;

    private final Timers timers;
    private final long maxAgeMillis;
    private boolean hasProof;
    private long proofMonotonicMillis;
    private long proofOffsetMillis;

    private Freshness(Timers timers, long maxAgeMillis) {
        this.timers = timers;
        this.maxAgeMillis = maxAgeMillis;
    }

    /**
     * Creates an instance without proof.
     * @param timers monotonic and wall clock
     * @param maxAgeMillis maximum age of a proof in milliseconds
     * @return the instance
     */
    public static Freshness of(Timers timers, long maxAgeMillis) {
        return new Freshness(timers, maxAgeMillis);
    }

    /**
     * A reading of both clocks.
     * @param monotonicMillis monotonic time in milliseconds
     * @param wallMillis wall-clock time in milliseconds since the Unix epoch
     */
    public record ClockReading(long monotonicMillis, long wallMillis) {
        /**
         * Reads both clocks.
         * @param timers monotonic and wall clock
         * @return the present reading
         */
        public static ClockReading now(Timers timers) {
            return new ClockReading(timers.nowMillis(), timers.wallMillis());
        }
    }

    // Queries

    /**
     * Tells whether the last proof still holds.
     * @return false before the first proof, when it is too old, and after a clock has jumped
     */
    public boolean isFresh() {
        return hasProof && ageMillis() <= maxAgeMillis && !hasClockJumped();
    }

    /**
     * Gets the age of the last proof.
     * @return milliseconds of monotonic time since the confirmed call was sent; undefined before the first proof
     */
    public long ageMillis() {
        return timers.nowMillis() - proofMonotonicMillis;
    }

    private boolean hasClockJumped() {
        return Math.abs(timers.wallMillis() - timers.nowMillis() - proofOffsetMillis) > MAX_DRIFT_MS;
    }

    // Commands

    /** Withdraws the last proof, because what it confirmed has turned out not to be the newest. */
    public void withdrawProof() {
        hasProof = false;
    }

    /**
     * Records a proof. A call during which a clock jumped is ignored, and so is one sent before the last proof's.
     * @param sent clock reading when the confirmed call was sent
     */
    public void recordProof(ClockReading sent) {
        long offsetWhenSent = sent.wallMillis() - sent.monotonicMillis();
        long offsetNow = timers.wallMillis() - timers.nowMillis();
        if (Math.abs(offsetNow - offsetWhenSent) > MAX_DRIFT_MS) {
            return;
        }
        if (!hasProof || sent.monotonicMillis() >= proofMonotonicMillis) {
            hasProof = true;
            proofMonotonicMillis = sent.monotonicMillis();
            proofOffsetMillis = offsetNow;
        }
    }
}
