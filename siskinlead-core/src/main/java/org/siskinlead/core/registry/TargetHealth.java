package org.siskinlead.core.registry;

import java.util.Objects;
import org.siskinlead.core.pacing.Pace;
import org.siskinlead.core.pacing.Pacing;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.time.Timers;

/** One instance of a target: its registry entry, the requests of this daemon on it, and its observed health. */
public final class TargetHealth {
    /** Weight of the newest observation in exponential moving averages. */
    private static final double MOVING_AVERAGE_WEIGHT = 0.2;
    /** Relative increase of the cost of a target that fails every request. */
    private static final double FAILURE_PENALTY = 12;
    /** Age up to which a reported load is used. */
    private static final long LOAD_VALID_MS = 1_000;
    /** Age up to which a reported slowdown is used. */
    private static final long SLOWDOWN_VALID_MS = 3_000;
    /** Time after which the excess of a slow answer over the usual time, or a failure, counts half. */
    private static final long SLOWNESS_HALF_LIFE_MS = 1_000;
    /** Time from the begin of a pace within which a target may still be warming up. */
    private static final long MAX_WARM_UP_MS = 30_000;

    private static final long NEVER = Long.MIN_VALUE / 2;
    /** Latency assumed before the first answer. */
    private static final double INITIAL_LATENCY_MS = 50;

    private final Timers timers;
    private final Pacing pacing;
    private RegisteredTarget entry;
    private Pace pace = Pace.UNLIMITED;
    /** Whether the target was found down or unreachable, so that it is paced once it may be used again. */
    private boolean recovering;

    private int inFlight;
    /** Requests of this daemon on the target as any hop of their paths. */
    private int hopsInFlight;

    private double reservedTokenLayers;
    private double failureRate;
    private double latencyMillis = INITIAL_LATENCY_MS;
    private long answeredAt = NEVER;
    private long failedAt = NEVER;
    private long pacedAt = NEVER;
    private double reportedLoad;
    private long loadReportedAt = Long.MIN_VALUE / 2;
    private long avoidUntil = Long.MIN_VALUE / 2;
    private long downUntil = Long.MIN_VALUE / 2;
    private long backoffUntil = Long.MIN_VALUE / 2;
    private double slowdown = 1;
    private long slowdownReportedAt = Long.MIN_VALUE / 2;
    private boolean ended;
    private boolean leaving;
    private boolean removed;

    TargetHealth(RegisteredTarget entry, Timers timers, Pacing pacing) {
        this.timers = timers;
        this.pacing = pacing;
        this.entry = entry;
        this.leaving = entry.leaving();
    }

    // Queries

    /**
     * Gets the registry entry.
     * @return entry as last registered, with layers that a probe may have updated
     */
    public RegisteredTarget entry() {
        return entry;
    }

    /**
     * Checks whether the target may get new requests.
     * @return false while it is leaving, removed, marked down, avoided after a failure, or it has asked for a backoff
     */
    public boolean isUsable() {
        return isAvailable() && millisToUse() == 0;
    }

    /**
     * Gets the time for which an available target is still avoided, or has asked not to be sent requests.
     * @return milliseconds, 0 if it may get requests now
     */
    public long millisToUse() {
        return Math.max(0, Math.max(avoidUntil, backoffUntil) - timers.nowMillis());
    }

    /**
     * Checks whether the target has asked not to be sent requests for a time that has not passed.
     * @return true until the time given to {@link #backOff} has passed
     */
    public boolean isBackingOff() {
        return timers.nowMillis() < backoffUntil;
    }

    /**
     * Checks whether the target is in service, even if it is avoided after a failure.
     * @return false while it is leaving, removed or marked down
     */
    public boolean isAvailable() {
        return isInService() && !isDown();
    }

    /**
     * Checks whether the target is registered and not about to stop. It may be marked down, as that can be temporary.
     * @return false once it is leaving or removed
     */
    public boolean isInService() {
        return !leaving && !removed;
    }

    /**
     * Checks whether the target has said that it is about to stop.
     * @return true once its entry or one of its answers has said so
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Checks whether the target is marked as crashed or unresponsive.
     * @return true until the period given to {@link #markDown} has passed or the state was cleared
     */
    public boolean isDown() {
        return timers.nowMillis() < downUntil;
    }

    /**
     * Checks whether the registry entry was removed.
     * @return true if the target is no longer registered
     */
    public boolean isRemoved() {
        return removed;
    }

    /**
     * Checks whether this instance is known to have ended. A removed entry or a refused connection alone does not prove it.
     * @return true if another instance has its id or answers at its address, or it said that it leaves and refuses connections
     */
    public boolean hasEnded() {
        return ended;
    }

    /**
     * Gets the number of requests that this daemon has in flight on the target.
     * @return requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Gets the KV cache memory reserved for requests of this daemon.
     * @return tokens times layers
     */
    public double reservedTokenLayers() {
        return reservedTokenLayers;
    }

    /**
     * Checks whether the target has reported its load recently.
     * @return true while the reported load is recent enough to be used
     */
    public boolean hasReportedLoad() {
        return timers.nowMillis() - loadReportedAt < LOAD_VALID_MS;
    }

    /**
     * Gets the load that the target last reported.
     * @return running and queued requests of all daemons
     */
    public double reportedLoad() {
        return reportedLoad;
    }

    /**
     * Gets the average time to an answer.
     * @return exponential moving average in milliseconds
     */
    public double latencyMillis() {
        return latencyMillis;
    }

    /**
     * Computes the cost by which targets of plain services are ranked: the expected time to an answer, increased with
     * the failure rate.
     * @return cost in milliseconds, lower is better
     */
    public double cost() {
        double reported = hasReportedLoad() ? reportedLoad : 0;
        double requestsPerSlot = Math.max(inFlight, reported) / Math.max(1, entry.slots());
        return expectedLatencyMillis() * (1 + inFlight + requestsPerSlot) * failureFactor();
    }

    /**
     * Computes the time to an answer that is expected now. A daemon of a large fleet expects the mean of the service from
     * a target that it does not know, and forgets slow answers of one that may still have been warming up: it would
     * otherwise avoid the target, and so get no answer that shows the change.
     * @return milliseconds
     */
    public double expectedLatencyMillis() {
        if (!pacing.isActive()) {
            return latencyMillis;
        }
        double mean = pacing.meanMillis(entry.service(), latencyMillis);
        if (answeredAt < 0) {
            return mean;
        }
        double excess = Math.max(0, latencyMillis - mean);
        return latencyMillis - excess * (1 - weightOfSlowness(answeredAt));
    }

    /** Gets the weight of what was observed of a target that may still have been warming up; 1 for any other one. */
    private double weightOfSlowness(long observedAt) {
        long now = timers.nowMillis();
        return now - pacedAt > MAX_WARM_UP_MS ? 1 : Math.pow(2, -(now - observedAt) / (double) SLOWNESS_HALF_LIFE_MS);
    }

    /**
     * Gets the slowdown that the target last reported.
     * @return duration of its work relative to the normal duration, at least 1; 1 without a recent report
     */
    public double slowdown() {
        return timers.nowMillis() - slowdownReportedAt < SLOWDOWN_VALID_MS ? Math.max(1, slowdown) : 1;
    }

    /**
     * Checks whether the pace of a target that has started or recovered lets it get another request of this daemon.
     * @return true if it is not paced, or has fewer requests than the pace allows
     */
    public boolean admits() {
        beginPaceIfRecovered();
        return pace.admits(hopsInFlight);
    }

    /**
     * Computes by how much failures raise the cost of the target.
     * @return factor, 1 without failures
     */
    public double failureFactor() {
        return 1 + FAILURE_PENALTY * failureRate * weightOfSlowness(failedAt);
    }

    /** Tells whether this target has started or recovered, and its pace has not ended. */
    boolean isPaced() {
        return pace.isLimiting();
    }

    /**
     * Gets the part of its capacity that a target that has started or recovered may be given by all daemons together.
     * @return a fraction above 0 and at most 1; 1 when it is not paced
     */
    public double capacityFraction() {
        beginPaceIfRecovered();
        return pace.capacityFraction();
    }

    // Commands

    /** Limits this target to few requests at first, because it has started or changed. */
    void beginPace(String reason) {
        recovering = false;
        beginPace(timers.nowMillis(), reason);
    }

    private void beginPace(long sinceMillis, String reason) {
        if (pacing.isActive()) {
            pacedAt = timers.nowMillis();
            answeredAt = NEVER;
            failureRate = 0;
        }
        pace = pacing.begin(entry.instanceId(), entry.service(), entry.slots(), sinceMillis, this::slowdown, reason);
    }

    private void beginPaceIfRecovered() {
        long now = timers.nowMillis();
        long usableSince = Math.max(downUntil, avoidUntil);
        if (recovering && usableSince <= now) {
            recovering = false;
            beginPace(usableSince, "recovered");
        }
    }

    /**
     * Records that a request was sent on a path through this target, as any hop.
     * @param exchange identifies the send in later calls
     * @param objectiveMillis the caller's objective for the time to the first part of the answer, in milliseconds
     */
    public void onSent(Object exchange, long objectiveMillis) {
        hopsInFlight++;
        pacing.onObjective(entry.service(), objectiveMillis);
        pace.onSent(exchange, objectiveMillis);
    }

    /**
     * Records the first part of the answer to a request that was sent on a path through this target.
     * @param exchange the send
     */
    public void onFirstPart(Object exchange) {
        pace.onAnswered(exchange);
    }

    /**
     * Records the end of a request that was sent on a path through this target.
     * @param exchange the send
     */
    public void onEnded(Object exchange) {
        hopsInFlight--;
        pace.onEnded(exchange);
    }

    /** Records that this target accepted no connection; it is paced once it is no longer avoided. */
    public void onUnreachable() {
        pace.onRefused();
        recovering = true;
    }

    /**
     * Records a slowdown that the target reported.
     * @param reported duration of its work relative to the normal duration
     */
    public void onSlowdown(double reported) {
        slowdown = reported;
        slowdownReportedAt = timers.nowMillis();
    }

    /** Records that another instance has taken the place of this one. */
    public void markEnded() {
        ended = true;
    }

    /** Clears the down state, after a false detection or a recovery. */
    public void clearDown() {
        endDown();
    }

    private void endDown() {
        downUntil = Math.min(downUntil, timers.nowMillis());
    }

    void update(RegisteredTarget newer) {
        updateLayers(newer);
        leaving |= newer.leaving();
        removed = false;
    }

    /** Excludes this instance from new requests for good; returns false if it was excluded before. */
    boolean markLeaving() {
        boolean changed = !leaving;
        leaving = true;
        return changed;
    }

    void markRemoved() {
        removed = true;
    }

    /**
     * Replaces the entry after a probe returned the layers of the target, before the registry does.
     * @param newer entry with the layers that the target holds
     */
    public void updateLayers(RegisteredTarget newer) {
        LayerRange before = entry.layers();
        entry = newer;
        if (newer.layers() != null && !Objects.equals(before, newer.layers())) {
            beginPace("holds new layers");
        }
    }

    /** Counts a request as in flight. */
    public void beginRequest() {
        inFlight++;
    }

    /** Stops counting a request as in flight. */
    public void endRequest() {
        inFlight--;
    }

    /**
     * Reserves or releases KV cache memory.
     * @param tokenLayers tokens times layers; negative to release
     */
    public void reserve(double tokenLayers) {
        reservedTokenLayers = Math.max(0, reservedTokenLayers + tokenLayers);
    }

    /**
     * Records an answer, which also clears the down state.
     * @param millis time to the answer, in milliseconds
     */
    public void onAnswer(double millis) {
        // The pace allows for the slow first answers of a paced target; afterwards they say nothing of it.
        if (!pace.isLimiting()) {
            pacing.onAnswer(entry.service(), millis);
            double before = expectedLatencyMillis();
            latencyMillis = before + MOVING_AVERAGE_WEIGHT * (millis - before);
            answeredAt = timers.nowMillis();
        }
        failureRate -= MOVING_AVERAGE_WEIGHT * failureRate;
        endDown();
    }

    /** Records a request that the target failed. */
    public void onFailure() {
        if (!pace.isLimiting()) {
            failureRate += MOVING_AVERAGE_WEIGHT * (1 - failureRate);
            failedAt = timers.nowMillis();
        }
        pace.onRefused();
    }

    /**
     * Records a load that the target reported.
     * @param load running and queued requests of all daemons
     */
    public void onLoad(double load) {
        reportedLoad = load;
        loadReportedAt = timers.nowMillis();
    }

    /**
     * Excludes the target from new requests for a period; never shortens the current one.
     * @param millis period in milliseconds
     */
    public void avoid(long millis) {
        avoidUntil = Math.max(avoidUntil, timers.nowMillis() + millis);
        pace.onRefused();
    }

    /**
     * Leaves the target alone for a period that it has asked for; never shortens the current one.
     * @param millis period in milliseconds
     */
    public void backOff(long millis) {
        backoffUntil = Math.max(backoffUntil, timers.nowMillis() + millis);
    }

    /**
     * Marks the target as down for a period; never shortens the current one.
     * @param millis period in milliseconds
     */
    public void markDown(long millis) {
        downUntil = Math.max(downUntil, timers.nowMillis() + millis);
        recovering = true;
    }
}
