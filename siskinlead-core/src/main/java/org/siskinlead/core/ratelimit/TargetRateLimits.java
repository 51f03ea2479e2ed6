package org.siskinlead.core.ratelimit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Limits that targets have named on the rate of their requests, and this daemon's shares of them. The shares of all
 * daemons add up to the limit as long as they agree on the roster; a daemon without a share sends nothing to the target.
 */
public final class TargetRateLimits {
    /** Time until a target may get a request of a daemon that has no share of its limit. */
    public static final long NEVER = Long.MAX_VALUE / 4;

    /** Interval at which the shares follow the roster. */
    private static final long ROSTER_CHECK_INTERVAL_MS = 200;
    /** Time for which an answer that named the limit counts for more than a report of a higher one, or of its end. */
    private static final long OWN_ANSWER_PRECEDENCE_MS = 2_000;
    /** Relative change of a limit that is recorded and reported to the other daemons. */
    private static final double RECORDED_CHANGE = 0.05;

    private static final int MAX_LIMITS = 5_000;

    private final String vm;
    private final Supplier<Collection<String>> servingVms;
    private final Timers timers;
    private final Timeline timeline;
    private List<String> vms = List.of();
    private Consumer<String> changeListener = instanceId -> {};
    /** By instance; a limit that has ended is kept, so that one that returns at once does not begin with a burst. */
    private final Map<String, Limit> limits = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Limit> eldest) {
            return size() > MAX_LIMITS;
        }
    };

    /** The limit of one target, infinite once it has ended. */
    private static final class Limit {
        private double perSecond = Double.POSITIVE_INFINITY;
        private double recordedPerSecond = Double.POSITIVE_INFINITY;
        private long learnedAt;
        private long namedAt = Long.MIN_VALUE / 2;
        private boolean held;
        private double sharePerSecond;
        private @Nullable TokenBucket bucket;

        boolean isInForce() {
            return !Double.isInfinite(perSecond);
        }
    }

    private TargetRateLimits(String vm, Supplier<Collection<String>> servingVms, Timers timers, Timeline timeline) {
        this.vm = vm;
        this.servingVms = servingVms;
        this.timers = timers;
        this.timeline = timeline;
    }

    /**
     * Creates an empty set of limits.
     * @param vm name of this daemon's VM
     * @param servingVms names of the VMs of all serving daemons; this one counts as one of them in any case
     * @param timers clock and scheduler
     * @param timeline log of the limits that targets name
     * @return limits of no target
     */
    public static TargetRateLimits of(
            String vm, Supplier<Collection<String>> servingVms, Timers timers, Timeline timeline) {
        TargetRateLimits limits = new TargetRateLimits(vm, servingVms, timers, timeline);
        timers.every(ROSTER_CHECK_INTERVAL_MS, limits::followRoster);
        return limits;
    }

    // Queries

    /**
     * Gets the time until this daemon may send a target a request.
     * @param instanceId the target's instance
     * @return milliseconds; 0 if it may send now, or the target has no limit; {@link #NEVER} if this daemon has no share
     *     of the limit
     */
    public long millisToSend(String instanceId) {
        return millisToSend(instanceId, 1);
    }

    /**
     * Gets the time until this daemon may have sent a target a number of requests.
     * @param instanceId the target's instance
     * @param requests number of requests
     * @return milliseconds, 0 for a target without limit, {@link #NEVER} without a share of its limit
     */
    public long millisToSend(String instanceId, double requests) {
        Limit limit = limits.get(instanceId);
        if (limit == null || !limit.isInForce()) {
            return 0;
        }
        TokenBucket bucket = limit.bucket;
        return bucket == null || !limit.held ? NEVER : bucket.millisTo(requests, timers.nowMillis());
    }

    /**
     * Gets the time since a target named its limit, or another daemon reported it.
     * @param instanceId the target's instance
     * @return milliseconds, 0 for a target without limit
     */
    public long ageMillis(String instanceId) {
        Limit limit = limits.get(instanceId);
        return limit == null || !limit.isInForce() ? 0 : timers.nowMillis() - limit.learnedAt;
    }

    /**
     * Gets the limit of a target.
     * @param instanceId the target's instance
     * @return requests a second that it takes from all daemons together, infinite without limit
     */
    public double perSecond(String instanceId) {
        Limit limit = limits.get(instanceId);
        return limit == null ? Double.POSITIVE_INFINITY : limit.perSecond;
    }

    /**
     * Lists the targets with a limit.
     * @return their instances
     */
    public List<String> limitedInstances() {
        List<String> limited = new ArrayList<>();
        limits.forEach((instanceId, limit) -> {
            if (limit.isInForce()) {
                limited.add(instanceId);
            }
        });
        return limited;
    }

    /** Gets the place of this daemon in the order in which daemons hold the limit of a target, from 0. */
    int rank(String instanceId) {
        return Rendezvous.rank(vm, vms(), instanceId);
    }

    // Commands

    /** Sets the listener for limits that this daemon has learned from answers; it gets the target's instance. */
    void setChangeListener(Consumer<String> listener) {
        changeListener = listener;
    }

    /**
     * Counts a request, a probe or an order that is sent to a target.
     * @param instanceId the target's instance
     */
    public void onSent(String instanceId) {
        Limit limit = limits.get(instanceId);
        if (limit != null && limit.bucket != null) {
            limit.bucket.take(timers.nowMillis());
        }
    }

    /**
     * Handles what an answer says about the limit of its target.
     * @param instanceId the target's instance
     * @param sentAt time at which the request was sent, in milliseconds of the monotonic clock
     * @param perSecond requests a second that the target takes from all daemons together, infinite when it names no
     *     limit, {@code NaN} when the one that it names cannot be read
     */
    public void onAnswer(String instanceId, long sentAt, double perSecond) {
        Limit known = limits.get(instanceId);
        boolean named = !Double.isInfinite(perSecond);
        if (Double.isNaN(perSecond) || (known == null && !named)) {
            return;
        }
        Limit limit = known == null ? limits.computeIfAbsent(instanceId, id -> new Limit()) : known;
        // An answer without limit to a request from before says nothing about the limit named since.
        if (!named && sentAt < limit.learnedAt) {
            return;
        }
        if (named) {
            limit.namedAt = timers.nowMillis();
            limit.learnedAt = timers.nowMillis();
        }
        if (change(instanceId, limit, perSecond, "answer")) {
            changeListener.accept(instanceId);
        }
    }

    /**
     * Handles the limit that another daemon reports. Which of a report and an answer is older is not known, so the
     * lower limit counts while an answer with one is recent; the next answer corrects it.
     * @param instanceId the target's instance
     * @param perSecond requests a second that the target takes from all daemons together, infinite when it has no limit
     */
    void onReport(String instanceId, double perSecond) {
        Limit known = limits.get(instanceId);
        if (known == null && Double.isInfinite(perSecond)) {
            return;
        }
        Limit limit = known == null ? limits.computeIfAbsent(instanceId, id -> new Limit()) : known;
        boolean namedRecently = timers.nowMillis() - limit.namedAt < OWN_ANSWER_PRECEDENCE_MS;
        if (namedRecently && perSecond > limit.perSecond) {
            changeListener.accept(instanceId);
            return;
        }
        limit.learnedAt = timers.nowMillis();
        change(instanceId, limit, perSecond, "report");
    }

    /** Changes a limit; returns whether the change is large enough to be reported. */
    private boolean change(String instanceId, Limit limit, double perSecond, String source) {
        if (perSecond == limit.perSecond) {
            return false;
        }
        limit.perSecond = perSecond;
        apply(instanceId, limit);
        if (isSimilar(perSecond, limit.recordedPerSecond)) {
            return false;
        }
        timeline.record(
                EventKind.TARGET_RATE_LIMIT,
                "target",
                instanceId,
                "perSecond",
                perSecond,
                "before",
                limit.recordedPerSecond,
                "source",
                source,
                "share",
                limit.sharePerSecond);
        limit.recordedPerSecond = perSecond;
        return true;
    }

    /** Tells whether two limits need not be told apart. */
    static boolean isSimilar(double one, double other) {
        return one == other || Math.abs(one - other) <= RECORDED_CHANGE * Math.min(one, other);
    }

    /** Computes this daemon's share of a limit. Only the first one begins with tokens, so that changes add none. */
    private void apply(String instanceId, Limit limit) {
        if (!limit.isInForce()) {
            return;
        }
        RateShare share = RateShare.of(vm, vms(), instanceId, limit.perSecond).orElse(null);
        TokenBucket bucket = limit.bucket;
        if (share != null) {
            long now = timers.nowMillis();
            double kept = limit.held && bucket != null ? bucket.tokens(now) : 0;
            limit.bucket = TokenBucket.of(share, bucket == null ? share.initial() : kept, now);
        }
        limit.held = share != null;
        limit.sharePerSecond = share == null ? 0 : share.perSecond();
    }

    private List<String> vms() {
        if (vms.isEmpty()) {
            vms = currentVms();
        }
        return vms;
    }

    private List<String> currentVms() {
        List<String> current = new ArrayList<>(servingVms.get());
        if (!current.contains(vm)) {
            current.add(vm);
        }
        return current;
    }

    private void followRoster() {
        if (limits.isEmpty()) {
            vms = List.of();
            return;
        }
        List<String> current = currentVms();
        if (!current.equals(vms)) {
            vms = current;
            limits.forEach(this::apply);
        }
    }
}
