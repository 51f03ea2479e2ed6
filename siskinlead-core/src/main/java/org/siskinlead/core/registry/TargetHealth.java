package org.siskinlead.core.registry;

import org.siskinlead.core.time.Timers;

/** One life of a target: its entry, the work that this daemon has on it, and what that work shows of its health. */
public final class TargetHealth {
    /** Weight of the newest observation in moving averages. */
    private static final double MOVING_AVERAGE_WEIGHT = 0.2;
    /** How much a target that fails everything looks busier than one that fails nothing. */
    private static final double FAILURE_PENALTY = 12;
    /** Age after which a load that a target reported says nothing, in milliseconds. */
    private static final long LOAD_VALID_MS = 1_000;
    /** Age after which a pace that a target reported says nothing, in milliseconds. */
    private static final long SLOWDOWN_VALID_MS = 3_000;
    /** Latency assumed before the first answer, in milliseconds. */
    private static final double INITIAL_LATENCY_MS = 50;

    private final Timers timers;
    private RegisteredTarget entry;
    private int inFlight;
    private double reservedTokenLayers;
    private double failureRate;
    private double latencyMillis = INITIAL_LATENCY_MS;
    private double reportedLoad;
    private long loadReportedAt = Long.MIN_VALUE / 2;
    private long avoidUntil = Long.MIN_VALUE / 2;
    private long downUntil = Long.MIN_VALUE / 2;
    private double slowdown = 1;
    private long slowdownReportedAt = Long.MIN_VALUE / 2;
    private boolean crashed;
    private boolean leaving;
    private boolean removed;

    TargetHealth(RegisteredTarget entry, Timers timers) {
        this.timers = timers;
        this.entry = entry;
        this.leaving = entry.leaving();
    }

    // Queries

    /**
     * Gets the entry.
     * @return the target as it last registered itself
     */
    public RegisteredTarget entry() {
        return entry;
    }

    /**
     * Tells whether it may get new work.
     * @return false while it leaves, is gone, is believed down, or is avoided after a failure
     */
    public boolean isUsable() {
        return isAvailable() && timers.nowMillis() >= avoidUntil;
    }

    /**
     * Tells whether it stays for the time being.
     * @return false while it leaves, is gone, or is believed down
     */
    public boolean isAvailable() {
        return !leaving && !removed && !isDown();
    }

    /**
     * Tells whether it is believed to have crashed or fallen silent.
     * @return true for a while after the last evidence
     */
    public boolean isDown() {
        return timers.nowMillis() < downUntil;
    }

    /**
     * Tells whether its entry was removed.
     * @return true when it is gone
     */
    public boolean isRemoved() {
        return removed;
    }

    /**
     * Tells whether this life is over.
     * @return true when its entry was removed, or nothing listens at its address any more
     */
    public boolean hasEnded() {
        return removed || crashed;
    }

    /**
     * Counts this daemon's requests on it.
     * @return requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Gets the memory that this daemon's requests are expected to take.
     * @return tokens times layers
     */
    public double reservedTokenLayers() {
        return reservedTokenLayers;
    }

    /**
     * Tells whether it reported its load a short while ago.
     * @return true while the report says something
     */
    public boolean hasReportedLoad() {
        return timers.nowMillis() - loadReportedAt < LOAD_VALID_MS;
    }

    /**
     * Gets the load that it reported.
     * @return running and waiting requests of all daemons
     */
    public double reportedLoad() {
        return reportedLoad;
    }

    /**
     * Gets the usual time to an answer.
     * @return moving average in milliseconds
     */
    public double latencyMillis() {
        return latencyMillis;
    }

    /**
     * Ranks plain targets: the expected time to an answer, higher for targets that fail.
     * @return a cost, lower is better
     */
    public double cost() {
        double others = hasReportedLoad() ? reportedLoad : 0;
        double queued = Math.max(inFlight, others) / Math.max(1, entry.slots());
        return latencyMillis * (1 + inFlight + queued) * (1 + FAILURE_PENALTY * failureRate);
    }

    /**
     * Gets how slow it is.
     * @return time of its work relative to the usual, 1 when nothing is known
     */
    public double slowdown() {
        return timers.nowMillis() - slowdownReportedAt < SLOWDOWN_VALID_MS ? Math.max(1, slowdown) : 1;
    }

    // Commands

    /**
     * Takes note of how slow it says it is.
     * @param reported time of its work relative to the usual
     */
    public void onSlowdown(double reported) {
        slowdown = reported;
        slowdownReportedAt = timers.nowMillis();
    }

    /** Takes note that nothing listens at its address. */
    public void markCrashed() {
        crashed = true;
    }

    /** Takes note that it was wrongly believed down, or is back. */
    public void clearDown() {
        crashed = false;
        downUntil = Long.MIN_VALUE / 2;
    }

    void update(RegisteredTarget newer) {
        entry = newer;
        leaving |= newer.leaving();
        removed = false;
    }

    void markRemoved() {
        removed = true;
    }

    /**
     * Takes the layers that the target said it holds, ahead of its next entry.
     * @param newer the entry with these layers
     */
    public void updateLayers(RegisteredTarget newer) {
        entry = newer;
    }

    /** Counts a request sent to it. */
    public void beginRequest() {
        inFlight++;
    }

    /** Counts a request as ended. */
    public void endRequest() {
        inFlight--;
    }

    /**
     * Reserves memory, or gives it back.
     * @param tokenLayers tokens times layers; negative to give back
     */
    public void reserve(double tokenLayers) {
        reservedTokenLayers = Math.max(0, reservedTokenLayers + tokenLayers);
    }

    /**
     * Takes note of an answer.
     * @param millis time to the answer, in milliseconds
     */
    public void onAnswer(double millis) {
        latencyMillis += MOVING_AVERAGE_WEIGHT * (millis - latencyMillis);
        failureRate -= MOVING_AVERAGE_WEIGHT * failureRate;
        downUntil = Long.MIN_VALUE / 2;
    }

    /** Takes note of a request that it failed. */
    public void onFailure() {
        failureRate += MOVING_AVERAGE_WEIGHT * (1 - failureRate);
    }

    /**
     * Takes note of the load that it reported.
     * @param load running and waiting requests
     */
    public void onLoad(double load) {
        reportedLoad = load;
        loadReportedAt = timers.nowMillis();
    }

    /**
     * Sends it no new work for a while.
     * @param millis how long, in milliseconds
     */
    public void avoid(long millis) {
        avoidUntil = Math.max(avoidUntil, timers.nowMillis() + millis);
    }

    /**
     * Believes it down for a while.
     * @param millis how long, in milliseconds
     */
    public void markDown(long millis) {
        downUntil = Math.max(downUntil, timers.nowMillis() + millis);
    }
}
