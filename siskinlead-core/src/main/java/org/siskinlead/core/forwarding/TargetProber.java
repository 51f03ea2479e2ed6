package org.siskinlead.core.forwarding;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.crash.Suspect;
import org.siskinlead.core.registry.EngineState;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Finds out by probes which target of a stalled path is down. Targets are probed on suspicion only, because probes are
 * charged for. A silent target is marked down when most others probed with it answered, or after a second probe, so
 * that a pause of this daemon is not attributed to targets.
 */
final class TargetProber {
    /** Timeout of a first probe; engines in the region answer within a few milliseconds, slow ones within 30 ms. */
    static final long FIRST_PROBE_TIMEOUT_MS = 40;
    /** Fraction of the others probed together that must have answered before a silent target is marked down at once. */
    private static final double MIN_OTHERS_ANSWERED_FRACTION = 0.6;
    /** Timeout of later probes, long enough to outlast a pause of this daemon. */
    static final long PROBE_TIMEOUT_MS = 80;
    /** Delay before the first recheck of a target found down. */
    static final long FIRST_RECHECK_DELAY_MS = 150;
    /** Interval between later rechecks of a target found down. */
    private static final long RECHECK_INTERVAL_MS = 600;

    /** Interval between rechecks of a slow target. */
    private static final long SLOW_RECHECK_INTERVAL_MS = 1_000;

    /** Size of {@code lastProbedAt} above which it is cleared. */
    private static final int MAX_LAST_PROBED_ENTRIES = 2_000;
    /** Time for which a target found down gets no requests, unless it answers or registers again. */
    static final long DOWN_PERIOD_MS = 3_000;

    /** Time within which a lost connection is attributed to a crash of the target. */
    private static final long BROKEN_RETENTION_MS = 1_000;

    private static final int MAX_BROKEN_CONNECTIONS = 500;
    private static final int PROBES_TO_CONFIRM_SILENCE = 2;
    /** Minimum time between probes of one target for suspicion; confirmations and rechecks are exempt. */
    private static final long MIN_PROBE_INTERVAL_MS = 250;
    /** Limit for all daemons together, so that probes do not add to an overload. */
    private static final int MAX_PROBES_PER_SECOND = 160;
    /** Limit of a daemon even when its share is smaller; enough for the targets of one path. */
    private static final int MIN_PROBES_PER_SECOND = 12;

    private final Timers timers;
    private final Timeline timeline;
    private final TargetRegistry registry;
    private final TargetLink link;
    private final ForwardingCounters counters;
    private final IntSupplier daemonCount;
    private final Map<String, Long> lastProbedAt = new HashMap<>();
    private final Set<String> probing = new HashSet<>();
    private Consumer<Finding> downListener = finding -> {};
    private final Deque<BrokenConnection> brokenConnections = new ArrayDeque<>();
    private long secondStartedAt;
    private int probesInSecond;

    private record BrokenConnection(
            String instanceId,
            AdmittedRequest request,
            @Nullable Suspect suspect,
            long at) {}

    /**
     * A target found down.
     * @param target the target
     * @param health result of the probe, not {@code ALIVE}
     */
    record Finding(TargetHealth target, TargetLink.Health health) {}

    TargetProber(
            Timers timers,
            Timeline timeline,
            TargetRegistry registry,
            TargetLink link,
            ForwardingCounters counters,
            IntSupplier daemonCount) {
        this.daemonCount = daemonCount;
        this.timers = timers;
        this.timeline = timeline;
        this.registry = registry;
        this.link = link;
        this.counters = counters;
    }

    /** Sets the listener that is called when a target is found down. */
    void setDownListener(Consumer<Finding> listener) {
        downListener = listener;
    }

    /**
     * Probes the suspect targets of stalled streams together.
     * @param suspects targets on stalled paths and on no flowing one
     * @param requestId id of one of the stalled requests
     */
    void checkAll(Collection<TargetHealth> suspects, String requestId) {
        Batch batch = new Batch();
        suspects.forEach(target -> check(target, requestId, batch));
    }

    /**
     * Probes a target unless it is down, is being probed or was probed within the minimum interval.
     * @param target the target
     * @param requestId id of the request that caused the suspicion, empty for none
     */
    void check(TargetHealth target, String requestId) {
        check(target, requestId, new Batch());
    }

    private void check(TargetHealth target, String requestId, Batch batch) {
        String instanceId = target.entry().instanceId();
        long now = timers.nowMillis();
        if (target.isDown()
                || target.isBackingOff()
                || now - lastProbedAt.getOrDefault(instanceId, Long.MIN_VALUE / 2) < MIN_PROBE_INTERVAL_MS
                || !probing.add(instanceId)) {
            return;
        }
        if (!tryAcquireProbe(now)) {
            probing.remove(instanceId);
            return;
        }
        if (lastProbedAt.size() > MAX_LAST_PROBED_ENTRIES) {
            lastProbedAt.clear();
        }
        lastProbedAt.put(instanceId, now);
        batch.sent++;
        probe(target, requestId, batch, 1);
    }

    /** Targets probed together. Answers of others rule out this daemon and its network as the cause of a silence. */
    private static final class Batch {
        private int sent;
        private int answered;

        boolean mostOthersAnswered() {
            return answered > 0 && answered >= MIN_OTHERS_ANSWERED_FRACTION * (sent - 1);
        }
    }

    /**
     * Records a connection lost during a request, and probes whether the target crashed.
     * @param suspect the request as a suspect of the crash, null when it cannot have caused one
     */
    void onConnectionBroken(TargetHealth target, AdmittedRequest request, @Nullable Suspect suspect) {
        String instanceId = target.entry().instanceId();
        brokenConnections.addLast(new BrokenConnection(instanceId, request, suspect, timers.nowMillis()));
        while (brokenConnections.size() > MAX_BROKEN_CONNECTIONS
                || timers.nowMillis() - brokenConnections.peekFirst().at() > BROKEN_RETENTION_MS) {
            brokenConnections.removeFirst();
        }
        long sinceProbe = timers.nowMillis() - lastProbedAt.getOrDefault(instanceId, Long.MIN_VALUE / 2);
        check(target, request.request().id());
        if (sinceProbe < MIN_PROBE_INTERVAL_MS) {
            // The last probe may have been answered just before the crash.
            timers.after(
                    MIN_PROBE_INTERVAL_MS - sinceProbe,
                    () -> check(target, request.request().id()));
        }
    }

    /** Lists the suspects among the requests that recently lost their connection to this instance of a target. */
    List<Suspect> suspectsBrokenOn(String instanceId) {
        return brokenConnections.stream()
                .filter(b -> b.instanceId().equals(instanceId))
                .map(BrokenConnection::suspect)
                .filter(Objects::nonNull)
                .toList();
    }

    /** Lists the requests that recently lost their connection to this instance of a target. */
    List<AdmittedRequest> requestsBrokenOn(String instanceId) {
        return brokenConnections.stream()
                .filter(b -> b.instanceId().equals(instanceId))
                .map(BrokenConnection::request)
                .toList();
    }

    private boolean tryAcquireProbe(long now) {
        if (now - secondStartedAt >= 1_000) {
            secondStartedAt = now;
            probesInSecond = 0;
        }
        int share = MAX_PROBES_PER_SECOND / Math.max(1, daemonCount.getAsInt());
        return probesInSecond++ < Math.max(MIN_PROBES_PER_SECOND, share);
    }

    private void probe(TargetHealth target, String requestId, Batch batch, int number) {
        counters.increment(ForwardingCounters.Count.PROBES);
        link.probe(target.entry(), number == 1 ? FIRST_PROBE_TIMEOUT_MS : PROBE_TIMEOUT_MS, result -> {
            boolean silent = result.health() == TargetLink.Health.SILENT;
            batch.answered += silent ? 0 : 1;
            if (silent && !batch.mostOthersAnswered() && number < PROBES_TO_CONFIRM_SILENCE) {
                probe(target, requestId, batch, number + 1);
                return;
            }
            probing.remove(target.entry().instanceId());
            if (result.health() != TargetLink.Health.ALIVE) {
                markDown(target, result.health(), requestId);
            }
            updateSlowdown(target, result);
            reportedTargets(result, target).forEach(other -> check(other, requestId));
        });
    }

    private void updateSlowdown(TargetHealth target, TargetLink.ProbeResult result) {
        EngineState state = result.state();
        if (state == null) {
            return;
        }
        boolean wasSlow = target.slowdown() > 1;
        target.onSlowdown(state.slowdown());
        if (target.slowdown() > 1 && !wasSlow) {
            timeline.record(EventKind.TARGET_SLOW, "target", target.entry().id(), "pace", state.slowdown());
            registry.notifyListeners();
            timers.after(SLOW_RECHECK_INTERVAL_MS, () -> recheckSlow(target));
        }
    }

    /** Probes a slow target until it is no longer slow, so that it is avoided no longer than that. */
    private void recheckSlow(TargetHealth target) {
        if (target.isRemoved() || target.isDown()) {
            return;
        }
        if (target.isBackingOff()) {
            timers.after(SLOW_RECHECK_INTERVAL_MS, () -> recheckSlow(target));
            return;
        }
        counters.increment(ForwardingCounters.Count.PROBES);
        link.probe(target.entry(), PROBE_TIMEOUT_MS, result -> {
            EngineState state = result.state();
            if (state != null) {
                target.onSlowdown(state.slowdown());
            }
            if (target.slowdown() > 1) {
                timers.after(SLOW_RECHECK_INTERVAL_MS, () -> recheckSlow(target));
            } else {
                timeline.record(
                        EventKind.TARGET_RECOVERED, "target", target.entry().id());
                registry.notifyListeners();
            }
        });
    }

    /** Probes a target found down until it answers, so that a false detection is corrected. */
    private void recheck(TargetHealth target) {
        if (!target.isDown() || target.isRemoved()) {
            return;
        }
        if (target.isBackingOff()) {
            timers.after(RECHECK_INTERVAL_MS, () -> recheck(target));
            return;
        }
        counters.increment(ForwardingCounters.Count.PROBES);
        link.probe(target.entry(), PROBE_TIMEOUT_MS, result -> {
            if (!target.isDown()) {
                return;
            }
            if (result.health() == TargetLink.Health.ALIVE) {
                target.clearDown();
                timeline.record(
                        EventKind.TARGET_RECOVERED, "target", target.entry().id());
                registry.notifyListeners();
            } else {
                timers.after(RECHECK_INTERVAL_MS, () -> recheck(target));
            }
        });
    }

    private List<TargetHealth> reportedTargets(TargetLink.ProbeResult result, TargetHealth reporter) {
        List<TargetHealth> reported = new ArrayList<>();
        for (String address : new HashSet<>(result.stalled().values())) {
            registry.findByAddress(address).filter(t -> t != reporter).ifPresent(reported::add);
        }
        return reported;
    }

    private void markDown(TargetHealth target, TargetLink.Health health, String requestId) {
        counters.increment(ForwardingCounters.Count.TARGETS_FOUND_DOWN);
        timeline.record(
                EventKind.TARGET_SUSPECTED,
                "target",
                target.entry().id(),
                "evidence",
                health,
                "request",
                requestId,
                "forMs",
                DOWN_PERIOD_MS);
        target.markDown(DOWN_PERIOD_MS);
        boolean hasLeft = health == TargetLink.Health.CRASHED && target.isLeaving();
        if (health == TargetLink.Health.REPLACED || hasLeft) {
            target.markEnded();
        }
        timers.after(FIRST_RECHECK_DELAY_MS, () -> recheck(target));
        downListener.accept(new Finding(target, health));
        registry.notifyListeners();
    }
}
