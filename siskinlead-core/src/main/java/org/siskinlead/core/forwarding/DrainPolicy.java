package org.siskinlead.core.forwarding;

import java.util.function.BooleanSupplier;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.forwarding.DrainEstimate.Basis;
import org.siskinlead.core.time.Timers;

/**
 * Decides which requests a draining daemon accepts. Streams are left to other daemons while there are any, since nobody
 * knows for how long a stream will run; all else is accepted if it is expected to end before this daemon stops.
 */
final class DrainPolicy {
    /** Time given for a drain that has not begun. */
    static final long NOT_DRAINING = -1;

    private final Timers timers;
    private final StreamPace pace;
    private BooleanSupplier othersServe = () -> false;
    private long directoryTtlMillis;
    private long begunAt;
    private long endsAt = Long.MAX_VALUE;

    private DrainPolicy(Timers timers, StreamPace pace) {
        this.timers = timers;
        this.pace = pace;
    }

    static DrainPolicy of(Timers timers, StreamPace pace) {
        return new DrainPolicy(timers, pace);
    }

    // Queries

    boolean isDraining() {
        return endsAt != Long.MAX_VALUE;
    }

    /** Gets the time since the drain began, in milliseconds; {@link #NOT_DRAINING} before. */
    long sinceBeginMillis() {
        return isDraining() ? timers.nowMillis() - begunAt : NOT_DRAINING;
    }

    /** Gets the time until this daemon ends what still runs, in milliseconds; {@link #NOT_DRAINING} before. */
    long leftMillis() {
        return isDraining() ? Math.max(0, endsAt - timers.nowMillis()) : NOT_DRAINING;
    }

    /** Tells whether a request that has just arrived is better sent to another daemon. */
    boolean isLeftToOthers(AdmittedRequest admitted) {
        return isDraining() && admitted.route().kind() == RouteKind.STREAM && othersServe.getAsBoolean();
    }

    /** Tells whether a request that is sent now ends before this daemon stops. */
    boolean endsInTime(AdmittedRequest admitted) {
        return !isDraining() || estimate(admitted).endsInTime();
    }

    /** Estimates how long a request takes that is sent now. */
    DrainEstimate estimate(AdmittedRequest admitted) {
        long maxMillis = admitted.route().timeoutMillis();
        Basis basis = Basis.TIMEOUT;
        if (admitted.route().kind() == RouteKind.STREAM) {
            boolean byPace = pace.isKnown(admitted.service().name());
            long streamMillis = byPace ? pace.maxDurationMillis(admitted) : StreamPace.onTimeDurationMillis(admitted);
            if (streamMillis < maxMillis) {
                maxMillis = streamMillis;
                basis = byPace ? Basis.PACE : Basis.OBJECTIVE;
            }
        }
        return new DrainEstimate(maxMillis, basis, sinceBeginMillis(), leftMillis());
    }

    /**
     * Gets the time until a caller that is refused can expect another daemon: none while callers know of one, otherwise
     * until they have asked the directory again.
     */
    long millisToOther() {
        return othersServe.getAsBoolean() ? 0 : directoryTtlMillis;
    }

    // Commands

    /** Sets the check whether callers that are refused find another daemon, and how long they keep directory answers. */
    void setOthersServe(BooleanSupplier check, long ttlMillis) {
        othersServe = check;
        directoryTtlMillis = ttlMillis;
    }

    /** Drains until the given time, in milliseconds of the monotonic clock. */
    void drainUntil(long monotonicMillis) {
        if (!isDraining()) {
            begunAt = timers.nowMillis();
        }
        endsAt = monotonicMillis;
    }
}
