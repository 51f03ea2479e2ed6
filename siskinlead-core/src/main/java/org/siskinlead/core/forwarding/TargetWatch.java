package org.siskinlead.core.forwarding;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.siskinlead.core.registry.EngineState;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Finds out which target of a stalled path is down. Targets are probed on suspicion only, because probes are priced. One
 * that is silent is found down when another one answered meanwhile, or after a second probe, so that a pause of this
 * daemon is not taken for theirs.
 */
final class TargetWatch {
    /** Wait for the answer to a first probe; engines in a region answer in a few milliseconds, slow ones in thirty. */
    static final long FIRST_TIMEOUT_MS = 40;
    /** Share of the other targets probed together that must have answered to make a silent one stand out. */
    private static final double OTHERS_ANSWERED_SHARE = 0.6;
    /** Wait for the answer to a later probe, which must outlast a pause of this daemon. */
    static final long PROBE_TIMEOUT_MS = 80;
    /** Time after which a target found down is probed again. */
    static final long FIRST_RECHECK_MS = 150;
    /** Time between later probes of a target found down. */
    private static final long RECHECK_MS = 600;

    /** Time between questions to a target that is slow. */
    private static final long SLOW_RECHECK_MS = 1_000;

    private static final int MAX_REMEMBERED = 2_000;
    /** Time for which a target found down gets no work, unless it registers anew. */
    static final long DOWN_MS = 3_000;

    /** Time in which a broken connection and a crash are taken to belong together. */
    private static final long BROKEN_MEMORY_MS = 1_000;

    private static final int MAX_BROKEN = 500;
    private static final int PROBES_TO_CONFIRM_SILENCE = 2;
    /** Time in which a target is not probed again. */
    private static final long PROBE_PAUSE_MS = 250;
    /** Bound on the probes of all daemons together, so that overload is not answered with probes. */
    private static final int MAX_PROBES_PER_SECOND = 160;
    /** Bound that a daemon keeps in any case: the targets of one path. */
    private static final int LEAST_PROBES_PER_SECOND = 12;

    private final Timers timers;
    private final Timeline timeline;
    private final TargetRegistry registry;
    private final TargetLink link;
    private final ForwardingCounters counters;
    private final IntSupplier daemons;
    private final Map<String, Long> probedAt = new HashMap<>();
    private final Set<String> probing = new HashSet<>();
    private Consumer<Finding> onDown = finding -> {};
    private final Deque<Broken> broken = new ArrayDeque<>();
    private long secondBegan;
    private int probesInSecond;

    private record Broken(String life, Admitted call, long at) {}

    /**
     * A target found down.
     * @param target the target
     * @param health what showed it
     */
    record Finding(TargetHealth target, TargetLink.Health health) {}

    TargetWatch(
            Timers timers,
            Timeline timeline,
            TargetRegistry registry,
            TargetLink link,
            ForwardingCounters counters,
            IntSupplier daemons) {
        this.daemons = daemons;
        this.timers = timers;
        this.timeline = timeline;
        this.registry = registry;
        this.link = link;
        this.counters = counters;
    }

    /** Registers what runs when a target is found down. */
    void onDown(Consumer<Finding> listener) {
        onDown = listener;
    }

    /**
     * Checks targets that stalled streams have in common.
     * @param suspects targets that no stream has passed through just now
     * @param requestId one of the stalled requests
     */
    void checkTogether(Collection<TargetHealth> suspects, String requestId) {
        Batch batch = new Batch();
        suspects.forEach(target -> check(target, requestId, batch));
    }

    /**
     * Checks a target unless it was checked just now.
     * @param target the target
     * @param requestId request that gave rise to the suspicion, empty for none
     */
    void check(TargetHealth target, String requestId) {
        check(target, requestId, new Batch());
    }

    private void check(TargetHealth target, String requestId, Batch batch) {
        String life = target.entry().instanceId();
        long now = timers.nowMillis();
        if (target.isDown()
                || now - probedAt.getOrDefault(life, Long.MIN_VALUE / 2) < PROBE_PAUSE_MS
                || !probing.add(life)) {
            return;
        }
        if (!mayProbe(now)) {
            probing.remove(life);
            return;
        }
        if (probedAt.size() > MAX_REMEMBERED) {
            probedAt.clear();
        }
        probedAt.put(life, now);
        batch.sent++;
        probe(target, requestId, batch, 1);
    }

    /** Probes sent together. An answer to one shows that this daemon and its network are not what is silent. */
    private static final class Batch {
        private int sent;
        private int answered;

        boolean showsOthersAnswer() {
            return answered > 0 && answered >= OTHERS_ANSWERED_SHARE * (sent - 1);
        }
    }

    /** Takes note that a connection broke while a target worked on a request, and checks whether the target crashed. */
    void onBroken(TargetHealth target, Admitted call) {
        broken.addLast(new Broken(target.entry().instanceId(), call, timers.nowMillis()));
        while (broken.size() > MAX_BROKEN
                || timers.nowMillis() - broken.peekFirst().at() > BROKEN_MEMORY_MS) {
            broken.removeFirst();
        }
        check(target, call.request().id());
    }

    /** Lists the requests whose connection to a life of a target broke just now. */
    List<Admitted> brokenOn(String life) {
        return broken.stream()
                .filter(b -> b.life().equals(life))
                .map(Broken::call)
                .toList();
    }

    private boolean mayProbe(long now) {
        if (now - secondBegan >= 1_000) {
            secondBegan = now;
            probesInSecond = 0;
        }
        int share = MAX_PROBES_PER_SECOND / Math.max(1, daemons.getAsInt());
        return probesInSecond++ < Math.max(LEAST_PROBES_PER_SECOND, share);
    }

    private void probe(TargetHealth target, String requestId, Batch batch, int number) {
        counters.add(ForwardingCounters.Count.PROBES);
        link.probe(target.entry(), number == 1 ? FIRST_TIMEOUT_MS : PROBE_TIMEOUT_MS, result -> {
            boolean silent = result.health() == TargetLink.Health.SILENT;
            batch.answered += silent ? 0 : 1;
            if (silent && !batch.showsOthersAnswer() && number < PROBES_TO_CONFIRM_SILENCE) {
                probe(target, requestId, batch, number + 1);
                return;
            }
            probing.remove(target.entry().instanceId());
            if (result.health() != TargetLink.Health.ALIVE) {
                found(target, result.health(), requestId);
            }
            noteState(target, result);
            blamed(result, target).forEach(other -> check(other, requestId));
        });
    }

    private void noteState(TargetHealth target, TargetLink.Probe result) {
        EngineState state = result.state();
        if (state == null) {
            return;
        }
        boolean wasSlow = target.slowdown() > 1;
        target.onSlowdown(state.slowdown());
        if (target.slowdown() > 1 && !wasSlow) {
            timeline.record(EventKind.TARGET_SLOW, "target", target.entry().id(), "pace", state.slowdown());
            registry.notifyListeners();
            timers.after(SLOW_RECHECK_MS, () -> recheckSlow(target));
        }
    }

    /** Asks a slow target for its pace until it is slow no longer, so that it is avoided just as long. */
    private void recheckSlow(TargetHealth target) {
        if (target.isRemoved() || target.isDown()) {
            return;
        }
        counters.add(ForwardingCounters.Count.PROBES);
        link.probe(target.entry(), PROBE_TIMEOUT_MS, result -> {
            EngineState state = result.state();
            if (state != null) {
                target.onSlowdown(state.slowdown());
            }
            if (target.slowdown() > 1) {
                timers.after(SLOW_RECHECK_MS, () -> recheckSlow(target));
            } else {
                timeline.record(
                        EventKind.TARGET_RECOVERED, "target", target.entry().id());
                registry.notifyListeners();
            }
        });
    }

    /** Probes a target that was found down again, so that a wrong finding does not last. */
    private void recheck(TargetHealth target) {
        if (!target.isDown() || target.isRemoved()) {
            return;
        }
        counters.add(ForwardingCounters.Count.PROBES);
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
                timers.after(RECHECK_MS, () -> recheck(target));
            }
        });
    }

    private List<TargetHealth> blamed(TargetLink.Probe result, TargetHealth reporter) {
        List<TargetHealth> blamed = new ArrayList<>();
        for (String address : new HashSet<>(result.stalled().values())) {
            registry.findByAddress(address).filter(t -> t != reporter).ifPresent(blamed::add);
        }
        return blamed;
    }

    private void found(TargetHealth target, TargetLink.Health health, String requestId) {
        counters.add(ForwardingCounters.Count.TARGETS_FOUND_DOWN);
        timeline.record(
                EventKind.TARGET_SUSPECTED,
                "target",
                target.entry().id(),
                "evidence",
                health,
                "request",
                requestId,
                "forMs",
                DOWN_MS);
        target.markDown(DOWN_MS);
        if (health == TargetLink.Health.CRASHED) {
            target.markCrashed();
        }
        timers.after(FIRST_RECHECK_MS, () -> recheck(target));
        onDown.accept(new Finding(target, health));
        registry.notifyListeners();
    }
}
