package org.siskinlead.core.ratelimit;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.platform.LeaseStore.Change;
import org.siskinlead.core.platform.LeaseStore.Outcome;
import org.siskinlead.core.time.Timers;

/**
 * Tells the daemons through the store which limits targets have named, so that a daemon that has just started, or has no
 * share of a limit, knows of it. The keys have no lease; they are removed when the limit or the target has ended.
 */
public final class RateLimitReports {
    /** Prefix of all keys; the rest is the target's instance, the value its limit in requests a second. */
    public static final String PREFIX = "siskinlead/limit/";

    /** Longest key that the store takes, in bytes. */
    private static final int MAX_KEY_BYTES = 200;
    /** Most changes in one write. */
    private static final int MAX_CHANGES = 30;
    /** Interval between two writes of this daemon; longer with many daemons, whose writes add up. */
    private static final long WRITE_INTERVAL_MS = 500;

    private static final long WRITE_INTERVAL_PER_DAEMON_MS = 10;
    /** Interval between two reports on one target by this daemon. */
    private static final long REPORT_INTERVAL_MS = 2_000;
    /** Delay of a report for each daemon that is to make it first. */
    private static final long RANK_DELAY_MS = 40;

    private static final int MAX_RANK = 10;
    private static final long TICK_INTERVAL_MS = 40;
    /** Time after which the limit of a target that is not registered is removed. */
    private static final long ABANDONED_AFTER_MS = 10_000;

    private final TargetRateLimits limits;
    private final LeaseStore store;
    private final Timers timers;
    private final RandomGenerator random;
    private final IntSupplier daemonCount;
    private final Predicate<String> isRegistered;
    private final Map<String, Double> perSecondInStore = new HashMap<>();
    /** Times at which to report on a target, by instance. */
    private final Map<String, Long> dueAt = new LinkedHashMap<>();

    private final Map<String, Long> reportedAt = new HashMap<>();
    private long nextWriteAt;
    private boolean ticking;

    private RateLimitReports(
            TargetRateLimits limits,
            LeaseStore store,
            Timers timers,
            RandomGenerator random,
            IntSupplier daemonCount,
            Predicate<String> isRegistered) {
        this.limits = limits;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.daemonCount = daemonCount;
        this.isRegistered = isRegistered;
    }

    /**
     * Creates the reports of a daemon and follows the limits that it learns.
     * @param limits limits that this daemon knows
     * @param store the platform's store
     * @param timers clock and scheduler
     * @param random source of delays
     * @param daemonCount number of serving daemons
     * @param isRegistered tells whether an instance of a target is registered
     * @return the reports
     */
    public static RateLimitReports of(
            TargetRateLimits limits,
            LeaseStore store,
            Timers timers,
            RandomGenerator random,
            IntSupplier daemonCount,
            Predicate<String> isRegistered) {
        RateLimitReports reports = new RateLimitReports(limits, store, timers, random, daemonCount, isRegistered);
        limits.setChangeListener(reports::schedule);
        return reports;
    }

    // Own knowledge

    /** Schedules a report, which is dropped if another daemon has made it by then. */
    private void schedule(String instanceId) {
        if ((PREFIX + instanceId).getBytes(StandardCharsets.UTF_8).length > MAX_KEY_BYTES) {
            return;
        }
        long delay = RANK_DELAY_MS * Math.min(limits.rank(instanceId), MAX_RANK);
        long earliest = reportedAt.getOrDefault(instanceId, Long.MIN_VALUE / 2) + REPORT_INTERVAL_MS;
        dueAt.putIfAbsent(instanceId, Math.max(earliest, timers.nowMillis() + delay));
        if (!ticking) {
            ticking = true;
            tick();
        }
    }

    private void tick() {
        if (timers.nowMillis() >= nextWriteAt) {
            write();
        }
        ticking = !dueAt.isEmpty();
        if (ticking) {
            timers.after(TICK_INTERVAL_MS, this::tick);
        }
    }

    private void write() {
        long now = timers.nowMillis();
        List<Change> changes = new ArrayList<>();
        Map<String, Double> written = new HashMap<>();
        for (Map.Entry<String, Long> due : List.copyOf(dueAt.entrySet())) {
            String instanceId = due.getKey();
            if (now < due.getValue() || changes.size() == MAX_CHANGES) {
                continue;
            }
            dueAt.remove(instanceId);
            double perSecond = limits.perSecond(instanceId);
            if (!TargetRateLimits.isSimilar(perSecond, inStore(instanceId))) {
                changes.add(new Change(PREFIX + instanceId, encode(perSecond), 0));
                written.put(instanceId, perSecond);
                reportedAt.put(instanceId, now);
            }
        }
        if (changes.isEmpty()) {
            return;
        }
        nextWriteAt = now + WRITE_INTERVAL_MS + WRITE_INTERVAL_PER_DAEMON_MS * daemonCount.getAsInt();
        store.commit(List.of(), changes, outcome -> {
            if (outcome != Outcome.DONE) {
                written.keySet().forEach(this::schedule);
            }
        });
    }

    private double inStore(String instanceId) {
        return perSecondInStore.getOrDefault(instanceId, Double.POSITIVE_INFINITY);
    }

    private static byte @org.jspecify.annotations.Nullable [] encode(double perSecond) {
        return Double.isInfinite(perSecond) ? null : Double.toString(perSecond).getBytes(StandardCharsets.UTF_8);
    }

    /** Reports again what the store may have lost. */
    public void onStoreRestored() {
        perSecondInStore.clear();
        reportedAt.clear();
        limits.limitedInstances().forEach(this::schedule);
    }

    // The store's

    /**
     * Handles a key below {@link #PREFIX} that the store holds.
     * @param key the key
     * @param value its value
     */
    public void onKeyPresent(String key, byte[] value) {
        String instanceId = key.substring(PREFIX.length());
        double perSecond = decode(value);
        if (Double.isNaN(perSecond)) {
            return;
        }
        if (!perSecondInStore.containsKey(instanceId)) {
            removeIfAbandoned(instanceId);
        }
        perSecondInStore.put(instanceId, perSecond);
        limits.onReport(instanceId, perSecond);
    }

    /**
     * Handles the removal of a key below {@link #PREFIX}.
     * @param key the removed key
     */
    public void onKeyRemoved(String key) {
        String instanceId = key.substring(PREFIX.length());
        if (perSecondInStore.remove(instanceId) != null) {
            limits.onReport(instanceId, Double.POSITIVE_INFINITY);
        }
    }

    /**
     * Removes all limits but the listed ones, after a full listing.
     * @param keys all keys below {@link #PREFIX}, and others
     */
    public void retainKeys(Collection<String> keys) {
        for (String instanceId : List.copyOf(perSecondInStore.keySet())) {
            if (!keys.contains(PREFIX + instanceId)) {
                onKeyRemoved(PREFIX + instanceId);
            }
        }
    }

    private static double decode(byte[] value) {
        try {
            double perSecond = Double.parseDouble(new String(value, StandardCharsets.UTF_8));
            return perSecond >= 0 && Double.isFinite(perSecond) ? perSecond : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** Removes the limit of a target that stays away, at a random time, so that mostly one daemon does so. */
    private void removeIfAbandoned(String instanceId) {
        timers.after(ABANDONED_AFTER_MS + random.nextLong(ABANDONED_AFTER_MS), () -> {
            if (!perSecondInStore.containsKey(instanceId)) {
                return;
            }
            if (!isRegistered.test(instanceId)) {
                store.commit(List.of(), List.of(new Change(PREFIX + instanceId, null, 0)), outcome -> {});
            }
            removeIfAbandoned(instanceId);
        });
    }
}
