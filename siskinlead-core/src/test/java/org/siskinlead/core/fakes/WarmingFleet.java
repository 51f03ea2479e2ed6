package org.siskinlead.core.fakes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.siskinlead.core.forwarding.Forwarder;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.pacing.Pacing;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Daemons that share {@link WarmingTargets}, and callers that choose a daemon at random, in virtual time. */
public final class WarmingFleet {
    private static final long STEP_MS = 5;
    private static final long CALLER_PATIENCE_MS = 2_000;
    /** Longest difference between the times at which daemons hear of a target. */
    private static final int NOTICE_SPREAD_MS = 100;

    public final ManualTimers timers = new ManualTimers();
    public final WarmingTargets targets = new WarmingTargets(timers);
    public final List<Daemon> daemons = new ArrayList<>();
    /** Path of the requests; decides whether one target or a path of engines runs them. */
    public String path = "/unsafe/x";
    /** Requests per second, of all daemons together. */
    public double rate;

    private final List<Asked> asked = new ArrayList<>();
    private final Random random;
    private final boolean paced;

    private record Asked(long at, RecordedReply reply) {}

    /** A daemon with its own registry and forwarder. */
    public record Daemon(String vm, TargetRegistry registry, Forwarder forwarder) {}

    public WarmingFleet(int daemonCount, boolean paced, long seed) {
        this.paced = paced;
        random = new Random(seed);
        timers.advance(10_000);
        for (int i = 0; i < daemonCount; i++) {
            addDaemon("vm" + i, this::vms);
        }
    }

    public List<String> vms() {
        return daemons.stream().map(Daemon::vm).toList();
    }

    /** Starts a daemon that lists the targets registered so far. */
    public void addDaemon(String vm, Supplier<Collection<String>> roster) {
        Timeline timeline = Timeline.of(vm, HybridClock.of(timers::wallMillis), event -> {});
        TargetRegistry registry = TargetRegistry.of(timers, timeline, StoreOutages.of(timers));
        if (paced) {
            registry.setPacing(Pacing.of(vm, roster, timers, timeline));
        }
        Freshness freshness = Freshness.of(timers, Integer.MAX_VALUE);
        freshness.recordProof(Freshness.ClockReading.now(timers));
        TargetRateLimits limits = TargetRateLimits.of(vm, List::of, timers, timeline);
        RetryBudgetShare.Budget budget = new RetryBudgetShare.Budget(0.2, 346, 10_000);
        Random choices = new Random(random.nextLong());
        Forwarder forwarder = Forwarder.of(
                timers,
                timeline,
                registry,
                targets,
                limits,
                freshness,
                () -> {},
                RetryBudgetShare.of(budget, () -> roster.get().size(), timers),
                () -> roster.get().size(),
                choices);
        forwarder.onCatalog(ForwardingTestBed.catalog(1, Set.of(ForwardingTestBed.KEY)));
        targets.entries().forEach(registry::register);
        daemons.add(new Daemon(vm, registry, forwarder));
    }

    /** Starts a target, of which the daemons hear one after the other. */
    public WarmingTargets.Machine start(RegisteredTarget entry, long usualMillis) {
        WarmingTargets.Machine machine = targets.start(entry, usualMillis);
        notifyDaemons(registry -> registry.register(entry));
        return machine;
    }

    /** Ends a target's process for a time, which every daemon learns from a notice; it is cold afterwards. */
    public void interrupt(WarmingTargets.Machine machine, long millis) {
        targets.interrupt(machine, millis);
        notifyDaemons(registry -> registry.find(machine.id()).ifPresent(t -> t.markDown(millis)));
    }

    private void notifyDaemons(Consumer<TargetRegistry> notice) {
        daemons.forEach(d -> timers.after(random.nextInt(NOTICE_SPREAD_MS), () -> notice.accept(d.registry())));
    }

    public void run(long millis) {
        for (long end = timers.nowMillis() + millis; timers.nowMillis() < end; timers.advance(STEP_MS)) {
            for (double due = rate * STEP_MS / 1_000; random.nextDouble() < due; due--) {
                ask(daemons.get(random.nextInt(daemons.size())));
            }
        }
    }

    private void ask(Daemon daemon) {
        RecordedReply reply = new RecordedReply();
        String id = "r" + asked.size();
        asked.add(new Asked(timers.nowMillis(), reply));
        byte[] body = id.getBytes(StandardCharsets.UTF_8);
        Forwarder.RequestHandle handle = daemon.forwarder()
                .onRequest(ForwardingTestBed.request(id, path, ForwardingTestBed.KEY, 20_000, body, List.of()), reply);
        timers.after(CALLER_PATIENCE_MS, () -> {
            if (!reply.started && reply.isOpen()) {
                handle.onCallerDisconnected();
            }
        });
    }

    /** Lists the refusals of the requests sent in a period whose callers got no complete answer in their time. */
    public List<String> lostBetween(long from, long to) {
        return asked.stream()
                .filter(a -> a.at() >= from && a.at() < to)
                .map(Asked::reply)
                .filter(r -> !r.complete && (r.answer == null || !r.answer.isSuccess()))
                .map(r -> String.valueOf(r.refusal))
                .toList();
    }
}
