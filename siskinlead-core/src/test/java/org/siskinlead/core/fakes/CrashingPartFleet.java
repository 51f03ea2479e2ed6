package org.siskinlead.core.fakes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.siskinlead.core.forwarding.LinkFailure;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.gateway.Gateway;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.roster.RosterEntry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/**
 * Several daemons that share a store and engines, in virtual time. An engine ends when it begins to write an answer on a
 * given part of a prompt, and starts again some seconds later. Requests with that part differ in everything else, and
 * share their other part with sound ones.
 */
public final class CrashingPartFleet {
    private static final String CRASHING_PART = "bad";
    /** First part of all requests that have the crashing part. */
    public static final String SHARED_PART = "p1";

    private static final int ENGINES = 24;
    private static final int PARTS = 60;
    private static final int EVENTS = 16;
    private static final long STEP_MS = 10;
    private static final long READ_MS = 60;
    private static final long EVENT_INTERVAL_MS = 40;
    private static final long RESTART_MS = 4_000;
    private static final long PROOF_INTERVAL_MS = 1_000;
    private static final long TIME_BUDGET_MS = 20_000;

    public final ManualTimers timers = new ManualTimers();
    public final FakeLeaseStore store = new FakeLeaseStore(timers);
    public final List<Daemon> daemons = new ArrayList<>();
    public final List<Long> partCrashes = new ArrayList<>();
    public final List<Long> partArrivals = new ArrayList<>();
    public final List<SoundRequest> soundRequests = new ArrayList<>();
    private final Map<String, Integer> startsByEngine = new HashMap<>();
    private final Set<String> crashed = new HashSet<>();
    private final List<Run> runs = new ArrayList<>();
    private final Random random;
    private int nextRequest;
    /** Shared parts of the requests that crash engines, drawn at random; a part that begins with "bad" does. */
    public List<List<String>> crashingPrompts = List.of(List.of(SHARED_PART, CRASHING_PART));
    /** Requests per second, of all daemons together, with and without the crashing part. */
    public double soundRate = 40;

    public double partRate;

    /** One daemon of the fleet. */
    public static final class Daemon {
        public final String vm;
        public final Gateway gateway;
        private final FakeTargetLink link;
        private int started;

        Daemon(String vm, Gateway gateway, FakeTargetLink link) {
            this.vm = vm;
            this.gateway = gateway;
            this.link = link;
        }
    }

    /** A request without the crashing part. */
    public static final class SoundRequest {
        public final long at;
        public final String part;
        public final RecordedReply reply = new RecordedReply();

        SoundRequest(long at, String part) {
            this.at = at;
            this.part = part;
        }
    }

    /** Execution of one send on an engine. */
    private static final class Run {
        private final FakeTargetLink.ReceivedRequest request;
        private final String engine;
        private boolean ended;

        Run(FakeTargetLink.ReceivedRequest request, String engine) {
            this.request = request;
            this.engine = engine;
        }
    }

    public CrashingPartFleet(int daemonCount, long seed) {
        random = new Random(seed);
        timers.advance(10_000);
        store.watchDelayMillis = 150;
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(startDaemon("vm" + i));
        }
        timers.advance(1_000);
        daemons.forEach(d -> d.gateway.onProof(Freshness.ClockReading.now(timers)));
    }

    private Daemon startDaemon(String vm) {
        FakeTargetLink link = new FakeTargetLink(timers);
        Gateway.Ports ports = new Gateway.Ports(
                timers,
                store.client(),
                link,
                (target, before, layers, answer) -> {},
                () -> {},
                new Random(random.nextLong()));
        Gateway gateway = Gateway.start(
                new RosterEntry(vm, vm + ":1", "east"),
                ports,
                new Gateway.Settings(4_000, new RetryBudgetShare.Budget(0.2, 196, 10_000)),
                Timeline.of(vm, HybridClock.of(timers::wallMillis), event -> {}));
        store.attach(gateway);
        gateway.onCatalog(ForwardingTestBed.catalog(1, Set.of(ForwardingTestBed.KEY)));
        gateway.onProof(Freshness.ClockReading.now(timers));
        gateway.onListening();
        for (int i = 0; i < ENGINES; i++) {
            gateway.registry().register(entry("e" + i));
        }
        return new Daemon(vm, gateway, link);
    }

    /** Replaces a daemon by a new process, which knows only what the store holds. */
    public void restart(int index) {
        Daemon old = daemons.get(index);
        old.link.received.subList(0, old.started).forEach(r -> r.cancelled = true);
        daemons.set(index, startDaemon(old.vm));
    }

    private RegisteredTarget entry(String engine) {
        RegisteredTarget first = Fleets.engine(engine, "east", "big", new LayerRange(0, 80));
        return new RegisteredTarget(
                first.id(),
                1 + startsByEngine.getOrDefault(engine, 0),
                first.service(),
                first.address(),
                first.dataCentre(),
                first.slots(),
                false,
                first.accelerator(),
                first.layers());
    }

    public void run(long millis) {
        long end = timers.nowMillis() + millis;
        while (timers.nowMillis() < end) {
            if (random.nextDouble() < soundRate * STEP_MS / 1_000) {
                sendSound();
            }
            if (random.nextDouble() < partRate * STEP_MS / 1_000) {
                send(crashingPrompts.get(random.nextInt(crashingPrompts.size())), new RecordedReply());
            }
            if (timers.nowMillis() % PROOF_INTERVAL_MS < STEP_MS) {
                daemons.forEach(d -> d.gateway.onProof(Freshness.ClockReading.now(timers)));
            }
            timers.advance(STEP_MS);
            daemons.forEach(this::startReceived);
        }
    }

    private void sendSound() {
        int part = (int) (PARTS * Math.pow(random.nextDouble(), 2));
        SoundRequest request = new SoundRequest(timers.nowMillis(), "p" + part);
        soundRequests.add(request);
        send(List.of(request.part), request.reply);
    }

    private void send(List<String> parts, RecordedReply reply) {
        Daemon daemon = daemons.get(random.nextInt(daemons.size()));
        String id = "r" + nextRequest++;
        daemon.gateway
                .forwarder()
                .onRequest(
                        ForwardingTestBed.request(
                                id,
                                "/stream/x",
                                ForwardingTestBed.KEY,
                                TIME_BUDGET_MS,
                                id.getBytes(StandardCharsets.UTF_8),
                                parts),
                        reply);
    }

    private void startReceived(Daemon daemon) {
        while (daemon.started < daemon.link.received.size()) {
            FakeTargetLink.ReceivedRequest request = daemon.link.received.get(daemon.started++);
            String engine = request.dispatch.target().id();
            if (crashed.contains(engine)
                    || request.dispatch.target().startedAtMillis() != 1 + startsByEngine.getOrDefault(engine, 0)) {
                request.fail(LinkFailure.REFUSED);
                continue;
            }
            boolean crashes =
                    request.dispatch.request().sharedPromptParts().stream().anyMatch(p -> p.startsWith(CRASHING_PART));
            if (crashes) {
                partArrivals.add(timers.nowMillis());
            }
            Run run = new Run(request, engine);
            runs.add(run);
            timers.after(READ_MS + random.nextInt((int) READ_MS), () -> begin(run, crashes));
        }
    }

    private void begin(Run run, boolean crashes) {
        if (run.ended || run.request.cancelled) {
            run.ended = true;
        } else if (crashes) {
            partCrashes.add(timers.nowMillis());
            crash(run.engine);
        } else {
            run.request.startStream();
            write(run, run.request.dispatch.lastEventId() + 1);
        }
    }

    private void write(Run run, long event) {
        if (run.ended || run.request.cancelled) {
            run.ended = true;
        } else if (event > EVENTS) {
            run.ended = true;
            run.request.endStream();
        } else {
            run.request.sendEvents(event, event);
            timers.after(EVENT_INTERVAL_MS, () -> write(run, event + 1));
        }
    }

    /** Ends an engine, for whatever reason, and starts it again later. */
    public void crash(String engine) {
        if (!crashed.add(engine)) {
            return;
        }
        daemons.forEach(d -> d.link.healthByTarget.put(engine, TargetLink.Health.CRASHED));
        runs.removeIf(r -> r.ended);
        for (Run run : List.copyOf(runs)) {
            if (run.engine.equals(engine) && !run.ended) {
                run.ended = true;
                if (!run.request.cancelled) {
                    run.request.fail(LinkFailure.BROKEN);
                }
            }
        }
        timers.after(RESTART_MS, () -> {
            crashed.remove(engine);
            startsByEngine.merge(engine, 1, Integer::sum);
            daemons.forEach(d -> {
                d.link.healthByTarget.remove(engine);
                d.gateway.registry().register(entry(engine));
            });
        });
    }

    /** Counts the requests with the crashing part that reached an engine later than a time after the fifth crash. */
    public long arrivalsAfterFifthCrash(long delayMillis) {
        if (partCrashes.size() < 5) {
            return 0;
        }
        long from = partCrashes.get(4) + delayMillis;
        return partArrivals.stream().filter(at -> at > from).count();
    }

    /** Computes the share of the sound requests with a part, sent in a period, of which an answer has begun. */
    public double shareBegun(String part, long from, long to) {
        List<SoundRequest> sent = soundRequests.stream()
                .filter(r -> r.at >= from && r.at < to && (part.isEmpty() || r.part.equals(part)))
                .toList();
        return sent.stream().filter(r -> r.reply.started).count() / (double) Math.max(1, sent.size());
    }
}
