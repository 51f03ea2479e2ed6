package org.siskinlead.core.pacing;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.siskinlead.core.ratelimit.Rendezvous;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** Starts the paces of targets at this daemon and counts them. Not thread-safe: used on the decision thread only. */
public final class Pacing {
    /** Number of daemons up to which each sees enough of a target's load by itself, and targets are not paced. */
    private static final int MAX_UNPACED_DAEMONS = 8;
    /** Answer time assumed for a service until answers have been observed. */
    private static final long DEFAULT_USUAL_MS = 250;
    /** Time for which the names of the serving daemons are kept, because the list is copied for each reading. */
    private static final long DAEMONS_VALID_MS = 200;
    /** Maximum number of begun paces that are recorded in {@link #RECORDING_WINDOW_MS}, as when all targets restart. */
    private static final int MAX_RECORDED = 50;

    /** Weight of the newest answer of a service in its mean answer time. */
    private static final double MEAN_WEIGHT = 0.05;

    private static final long RECORDING_WINDOW_MS = 10_000;

    private final String vm;
    private final Supplier<Collection<String>> servingVms;
    private final Timers timers;
    private final Timeline timeline;
    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    /** Mean answer times of the targets of each service that are not paced, in milliseconds. */
    private final Map<String, Double> means = new HashMap<>();
    /** Shortest objective of the callers of each service, in milliseconds. */
    private final Map<String, Long> objectives = new HashMap<>();

    private ToLongFunction<String> usualMillis = service -> 0;
    private Collection<String> vms = List.of();
    private long vmsReadAt = Long.MIN_VALUE / 2;
    private long windowStartedAt = Long.MIN_VALUE / 2;
    private int recordedInWindow;

    /** Counted events; the metric is {@code pacing.} and the name in lower case. */
    public enum Count {
        BEGUN,
        ENDED,
        /** Times that a target refused or failed a request while it was paced. */
        HALVED,
        /** Times that a pace was held because an answer was late. */
        HELD,
        /** Requests for which a paced target was left out of the choice. */
        LEFT_OUT,
        /** Requests for which targets had to be chosen that their paces left out, since no others could be used. */
        OVERRIDDEN
    }

    private Pacing(String vm, Supplier<Collection<String>> servingVms, Timers timers, Timeline timeline) {
        this.vm = vm;
        this.servingVms = servingVms;
        this.timers = timers;
        this.timeline = timeline;
    }

    /**
     * Creates the pacing of a daemon.
     * @param vm name of the daemon's VM
     * @param servingVms supplies the names of the VMs of all serving daemons
     * @param timers clock
     * @param timeline receives the events of paces
     * @return pacing without a paced target
     */
    public static Pacing of(String vm, Supplier<Collection<String>> servingVms, Timers timers, Timeline timeline) {
        return new Pacing(vm, servingVms, timers, timeline);
    }

    // Queries

    /**
     * Checks whether targets are paced.
     * @return false while the fleet has at most 8 daemons
     */
    public boolean isActive() {
        return daemonCount() > MAX_UNPACED_DAEMONS;
    }

    /**
     * Lists the counts that are not zero.
     * @return values by metric name, {@code pacing.*}
     */
    public Map<String, Long> values() {
        Map<String, Long> values = new TreeMap<>();
        counts.forEach((count, value) -> values.put("pacing." + count.name().toLowerCase(Locale.ROOT), value));
        return values;
    }

    /**
     * Gets a count.
     * @param what the count
     * @return its value since the start
     */
    public long get(Count what) {
        return counts.getOrDefault(what, 0L);
    }

    int daemonCount() {
        Collection<String> known = vms();
        return known.size() + (known.contains(vm) ? 0 : 1);
    }

    /** Counts the daemons that use a target before this one. */
    int rank(String instanceId) {
        return Rendezvous.rank(vm, vms(), instanceId);
    }

    /** Gets the time at which the daemons were last listed; ranks are the same until the next time. */
    long listedAt() {
        vms();
        return vmsReadAt;
    }

    /** Gets the time within which most requests of a service are answered, a default until answers have been observed. */
    long usualMillis(String service) {
        long known = usualMillis.applyAsLong(service);
        return known > 0 ? known : DEFAULT_USUAL_MS;
    }

    /**
     * Gets the mean time to an answer of the targets of a service that are not paced.
     * @param service name of the service
     * @param otherwise time to return before there was an answer
     * @return exponential moving average in milliseconds
     */
    public double meanMillis(String service, double otherwise) {
        return means.getOrDefault(service, otherwise);
    }

    long objectiveMillis(String service) {
        return objectives.getOrDefault(service, 0L);
    }

    private Collection<String> vms() {
        if (timers.nowMillis() - vmsReadAt >= DAEMONS_VALID_MS) {
            vms = Set.copyOf(servingVms.get());
            vmsReadAt = timers.nowMillis();
        }
        return vms;
    }

    // Commands

    /**
     * Sets the source of usual answer times.
     * @param source gets the time within which most requests of a service are answered, in milliseconds; 0 if unknown
     */
    public void setUsualTimes(ToLongFunction<String> source) {
        usualMillis = source;
    }

    /**
     * Records the objective of a request that is sent to any target of a service.
     * @param service name of the service
     * @param millis time to the first part of the answer, in milliseconds
     */
    public void onObjective(String service, long millis) {
        objectives.merge(service, millis, Math::min);
    }

    /**
     * Records an answer of a target that is not paced.
     * @param service name of the service
     * @param millis time to the answer, in milliseconds
     */
    public void onAnswer(String service, double millis) {
        means.merge(service, millis, (mean, newest) -> mean + MEAN_WEIGHT * (newest - mean));
    }

    /**
     * Begins the pace of a target.
     * @param instanceId the target's instance
     * @param service its service
     * @param slots number of requests that it runs concurrently
     * @param sinceMillis monotonic time from which it can be used, not in the future
     * @param slowdown supplies the duration of its work relative to the normal duration, at least 1
     * @param reason why it is paced, for the event
     * @return the pace, {@link Pace#UNLIMITED} when targets are not paced
     */
    public Pace begin(
            String instanceId, String service, int slots, long sinceMillis, DoubleSupplier slowdown, String reason) {
        if (!isActive()) {
            return Pace.UNLIMITED;
        }
        increment(Count.BEGUN);
        boolean recorded = mayRecord();
        if (recorded) {
            timeline.record(EventKind.TARGET_PACE_BEGUN, "target", instanceId, "reason", reason);
        }
        return new SlowStart(this, timers, instanceId, service, slots, sinceMillis, slowdown, recorded);
    }

    /**
     * Increments a count by one.
     * @param what the count
     */
    public void increment(Count what) {
        counts.merge(what, 1L, Long::sum);
    }

    void onEnded(String instanceId, long tookMillis, boolean recorded) {
        increment(Count.ENDED);
        if (recorded) {
            timeline.record(EventKind.TARGET_PACE_ENDED, "target", instanceId, "tookMs", tookMillis);
        }
    }

    private boolean mayRecord() {
        if (timers.nowMillis() - windowStartedAt >= RECORDING_WINDOW_MS) {
            windowStartedAt = timers.nowMillis();
            recordedInWindow = 0;
        }
        return ++recordedInWindow <= MAX_RECORDED;
    }
}
