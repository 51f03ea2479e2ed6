package org.siskinlead.core.fakes;

import static org.siskinlead.core.forwarding.TargetResponse.UNLIMITED;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.forwarding.Dispatch;
import org.siskinlead.core.forwarding.Forwarder;
import org.siskinlead.core.forwarding.LinkFailure;
import org.siskinlead.core.forwarding.RetryBudgetShare;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.pacing.Pacing;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.EngineState;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Daemons that share targets whose work takes several times the usual time until they are warm, in virtual time. */
public final class WarmingFleet {
    private static final long MAX_PROOF_AGE_MS = 1_000_000;
    private static final long STEP_MS = 5;
    private static final int EVENTS = 5;
    /** Longest difference between the times at which daemons hear of a target. */
    private static final int NOTICE_SPREAD_MS = 100;

    public final ManualTimers timers = new ManualTimers();
    public final Map<String, Machine> machines = new LinkedHashMap<>();
    public final List<Daemon> daemons = new ArrayList<>();
    public final List<Asked> asked = new ArrayList<>();
    private final List<Job> waiting = new ArrayList<>();
    private final Random random;
    private final boolean paced;
    /** Path of the requests; decides whether one target or a path of engines runs them. */
    public String path = "/unsafe/x";
    /** Requests per second, of all daemons together. */
    public double rate;
    /** Time after which a caller leaves that has got nothing. */
    public long patienceMillis = 2_000;

    /** A target; {@code slots} requests run at once, and others wait or are refused. */
    public static final class Machine {
        public final List<Long> sends = new ArrayList<>();
        public final List<Long> completions = new ArrayList<>();
        public RegisteredTarget entry;
        public long usualMillis;
        public double coldFactor = 1;
        public long warmUpMillis = 1;
        public long startedAt;
        public boolean refuses;
        public boolean down;
        public int running;

        Machine(RegisteredTarget entry, long usualMillis) {
            this.entry = entry;
            this.usualMillis = usualMillis;
        }

        double slowness(long now) {
            double warm = Math.min(1, (now - startedAt) / (double) warmUpMillis);
            return coldFactor + (1 - coldFactor) * warm;
        }

        public long sendsBetween(long from, long to) {
            return sends.stream().filter(at -> at >= from && at < to).count();
        }

        /** Computes the answers per second in a period. */
        public double rateBetween(long from, long to) {
            return completions.stream().filter(at -> at >= from && at < to).count() * 1_000.0 / (to - from);
        }
    }

    /** A daemon with its own registry and forwarder. */
    public record Daemon(String vm, TargetRegistry registry, Forwarder forwarder) {}

    /** A request of a caller. */
    public record Asked(long at, RecordedReply reply) {
        public boolean isLost() {
            TargetResponse answer = reply.answer;
            return !reply.complete && (answer == null || !answer.isSuccess());
        }
    }

    /** A request that was sent to targets. */
    private final class Job implements TargetLink.Exchange {
        private final Dispatch dispatch;
        private final TargetLink.Listener listener;
        private final List<Machine> hops = new ArrayList<>();
        private boolean running;
        private boolean ended;

        Job(Dispatch dispatch, TargetLink.Listener listener) {
            this.dispatch = dispatch;
            this.listener = listener;
            HopPath hopPath = dispatch.path();
            if (hopPath == null) {
                hops.add(machine(dispatch.target()));
            } else {
                hopPath.hops().forEach(h -> hops.add(machine(h.target().entry())));
            }
            hops.forEach(m -> m.sends.add(timers.nowMillis()));
        }

        void arrive() {
            Machine full = hops.stream()
                    .filter(m -> m.running >= m.entry.slots())
                    .findFirst()
                    .orElse(null);
            if (ended) {
                return;
            }
            if (hops.stream().anyMatch(m -> m.down)) {
                ended = true;
                listener.onFailure(LinkFailure.UNREACHABLE);
            } else if (full == null) {
                run();
            } else if (full.refuses) {
                ended = true;
                String fault = full == hops.get(0) ? "" : full.entry.address();
                listener.onHead(head(503, fault));
            } else if (!waiting.contains(this)) {
                waiting.add(this);
            }
        }

        private void run() {
            running = true;
            waiting.remove(this);
            hops.forEach(m -> m.running++);
            long now = timers.nowMillis();
            double slowness =
                    hops.stream().mapToDouble(m -> m.slowness(now)).max().orElse(1);
            int parts = dispatch.path() == null ? 1 : EVENTS;
            for (int part = 1; part <= parts; part++) {
                int number = part;
                timers.after(Math.round(part * hops.get(0).usualMillis * slowness), () -> write(number, parts));
            }
        }

        private void write(int part, int parts) {
            if (ended) {
                return;
            }
            if (part == 1) {
                listener.onHead(head(200, ""));
            }
            listener.onBodyChunk(("id: " + part + "\ndata: t\n\n").getBytes(StandardCharsets.UTF_8));
            if (part == parts && !ended) {
                hops.forEach(m -> m.completions.add(timers.nowMillis()));
                end();
                listener.onEnd();
            }
        }

        private void end() {
            ended = true;
            waiting.remove(this);
            if (running) {
                hops.forEach(m -> m.running--);
                List.copyOf(waiting).forEach(Job::arrive);
            }
        }

        private TargetResponse head(int status, String fault) {
            Machine first = hops.get(0);
            long load = first.running
                    + waiting.stream().filter(j -> j.hops.get(0) == first).count();
            return new TargetResponse(status, status == 503, true, true, fault, load, false, UNLIMITED, 0, List.of());
        }

        @Override
        public void cancel() {
            if (!ended) {
                end();
            }
        }
    }

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
    public Daemon addDaemon(String vm, Supplier<Collection<String>> roster) {
        Timeline timeline = Timeline.of(vm, HybridClock.of(timers::wallMillis), event -> {});
        TargetRegistry registry = TargetRegistry.of(timers, timeline);
        if (paced) {
            registry.setPacing(Pacing.of(vm, roster, timers, timeline));
        }
        Freshness freshness = Freshness.of(timers, MAX_PROOF_AGE_MS);
        freshness.recordProof(Freshness.ClockReading.now(timers));
        Forwarder forwarder = Forwarder.of(
                timers,
                timeline,
                registry,
                new Link(),
                TargetRateLimits.of(vm, List::of, timers, timeline),
                freshness,
                () -> {},
                new RetryBudgetShare.Budget(0.2, 346, 10_000),
                () -> roster.get().size(),
                new Random(random.nextLong()));
        forwarder.onCatalog(ForwardingTestBed.catalog(1, Set.of(ForwardingTestBed.KEY)));
        machines.values().forEach(m -> registry.register(m.entry));
        Daemon daemon = new Daemon(vm, registry, forwarder);
        daemons.add(daemon);
        return daemon;
    }

    /** Starts a target, of which the daemons hear one after the other. */
    public Machine start(RegisteredTarget entry, long usualMillis) {
        Machine machine = new Machine(entry, usualMillis);
        machine.startedAt = timers.nowMillis();
        machines.put(entry.id(), machine);
        for (Daemon daemon : daemons) {
            timers.after(
                    random.nextInt(NOTICE_SPREAD_MS), () -> daemon.registry().register(entry));
        }
        return machine;
    }

    /** Ends a target's process for a time, which every daemon learns from a notice; it is cold afterwards. */
    public void interrupt(Machine machine, long millis) {
        machine.down = true;
        for (Daemon daemon : daemons) {
            timers.after(
                    random.nextInt(NOTICE_SPREAD_MS),
                    () -> daemon.registry().find(machine.entry.id()).ifPresent(t -> t.markDown(millis)));
        }
        timers.after(millis, () -> {
            machine.down = false;
            machine.startedAt = timers.nowMillis();
        });
    }

    public void run(long millis) {
        long end = timers.nowMillis() + millis;
        while (timers.nowMillis() < end) {
            double due = rate * STEP_MS / 1_000;
            for (; random.nextDouble() < due; due--) {
                ask();
            }
            timers.advance(STEP_MS);
        }
    }

    private void ask() {
        RecordedReply reply = new RecordedReply();
        String id = "r" + asked.size();
        asked.add(new Asked(timers.nowMillis(), reply));
        Forwarder.RequestHandle handle = daemons.get(random.nextInt(daemons.size()))
                .forwarder()
                .onRequest(
                        ForwardingTestBed.request(
                                id,
                                path,
                                ForwardingTestBed.KEY,
                                20_000,
                                id.getBytes(StandardCharsets.UTF_8),
                                List.of()),
                        reply);
        timers.after(patienceMillis, () -> {
            if (!reply.started && reply.isOpen()) {
                handle.onCallerDisconnected();
            }
        });
    }

    /** Lists the refusals of the requests sent in a period whose callers got no complete answer in their time. */
    public List<String> lostBetween(long from, long to) {
        return asked.stream()
                .filter(a -> a.at() >= from && a.at() < to && a.isLost())
                .map(a -> String.valueOf(a.reply().refusal))
                .toList();
    }

    private Machine machine(RegisteredTarget target) {
        return Objects.requireNonNull(machines.get(target.id()));
    }

    private final class Link implements TargetLink {
        @Override
        public Exchange send(Dispatch dispatch, Listener listener) {
            Job job = new Job(dispatch, listener);
            timers.after(1, job::arrive);
            return job;
        }

        @Override
        public void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult) {
            timers.after(2, () -> {
                Machine machine = machine(target);
                onResult.accept(
                        machine.down
                                ? ProbeResult.unanswered(Health.CRASHED)
                                : new ProbeResult(
                                        Health.ALIVE,
                                        Map.of(),
                                        new EngineState(target.layers(), false, 0, machine.running, 0, 1)));
            });
        }
    }
}
