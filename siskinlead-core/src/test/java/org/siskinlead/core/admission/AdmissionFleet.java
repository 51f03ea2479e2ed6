package org.siskinlead.core.admission;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.catalog.CallerLimits;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.catalog.Team;
import org.siskinlead.core.catalog.WeightedService;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.forwarding.Forwarder;
import org.siskinlead.core.forwarding.Reply;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/**
 * Daemons that share engines, in virtual time. Callers leave 2 s after their last event, and repeat a refused request once
 * when they are told to, at any daemon.
 */
final class AdmissionFleet {
    static final String SERVICE = "engines";
    static final String ACCELERATOR = "k";
    static final int LAYERS = 8;
    /** Kinds of requests, 0 is the most urgent one. */
    static final int KINDS = 3;

    static final int TEAMS = 6;
    static final long PATIENCE_MS = 2_000;
    private static final long TIME_BUDGET_MS = 20_000;
    private static final long SPREAD_MS = 100;

    final ManualTimers timers = new ManualTimers();
    final List<Forwarder> daemons = new ArrayList<>();
    final List<Caller> callers = new ArrayList<>();
    final FakeEngines engines = new FakeEngines(timers);
    /** Times for which requests were held before they were refused, in milliseconds. */
    final List<Long> held = new ArrayList<>();

    private final List<TargetRegistry> registries = new ArrayList<>();
    private final Random random;
    private long nextRequest;

    AdmissionFleet(int daemonCount, long seed) {
        random = new Random(seed);
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(null);
            registries.add(null);
            start(i, daemonCount);
        }
        timers.after(1, this::spread);
        timers.advance(10_000);
    }

    /** Starts a daemon; one that ran before has ended with all its requests. */
    void start(int index, int daemonCount) {
        if (daemons.get(index) != null) {
            daemons.get(index).terminateAll("restarted");
        }
        Timeline timeline = Timeline.of("vm" + index, HybridClock.of(timers::wallMillis), event -> {});
        TargetRegistry registry = TargetRegistry.of(timers, timeline, StoreOutages.of(timers));
        for (int i = 0; i < FakeEngines.COUNT; i++) {
            registry.register(FakeEngines.entry(i));
        }
        Freshness freshness = Freshness.of(timers, Long.MAX_VALUE / 4);
        Forwarder forwarder = Forwarder.of(
                timers,
                timeline,
                registry,
                engines.link(),
                TargetRateLimits.of("vm" + index, List::of, timers, timeline),
                freshness,
                () -> {},
                RetryBudgetShare.of(new RetryBudgetShare.Budget(0.2, 346, 10_000), () -> daemonCount, timers),
                () -> daemonCount,
                new Random(random.nextLong()));
        forwarder.onCatalog(catalog());
        freshness.recordProof(Freshness.ClockReading.now(timers));
        daemons.set(index, forwarder);
        registries.set(index, registry);
    }

    private static Catalog catalog() {
        List<Route> routes = IntStream.range(0, KINDS)
                .mapToObj(i -> new Route(
                        "k" + i,
                        "host",
                        "/k" + i + "/",
                        RouteKind.STREAM,
                        List.of(new WeightedService(SERVICE, 1)),
                        TIME_BUDGET_MS,
                        500,
                        250,
                        i,
                        2,
                        false,
                        true))
                .toList();
        List<Team> teams = IntStream.range(0, TEAMS)
                .mapToObj(i -> new Team("t" + i, Set.of("t" + i), null))
                .toList();
        // What the daemons assume of the engines' memory is ample, so that only the engines themselves refuse.
        EngineSpec engine = new EngineSpec(
                "m",
                8,
                1,
                1,
                1,
                0.01,
                0,
                1,
                1,
                1,
                700,
                160,
                1,
                FakeEngines.SLOTS,
                1,
                1,
                Map.of("k", new AcceleratorKind("k", 1_000_000, 1, 1)));
        return Catalog.of(
                1, routes, List.of(new Service(SERVICE, "/", 900, engine)), teams, new CallerLimits(1, 1, 1, 1));
    }

    /** Stands in for the choice of paths by shares: spreads requests at random, less often to engines with more load. */
    private void spread() {
        for (TargetRegistry registry : registries) {
            for (TargetHealth target : registry.of(SERVICE)) {
                double load = engines.load(target.entry().id());
                target.onSlowdown(1 + random.nextDouble() + 2 * Math.max(0, load - 0.5));
            }
        }
        timers.after(SPREAD_MS, this::spread);
    }

    /** Runs with a number of requests a second of each kind, of all callers together. */
    void run(long millis, double... rates) {
        for (long end = timers.nowMillis() + millis; timers.nowMillis() < end; timers.advance(1)) {
            for (int kind = 0; kind < KINDS; kind++) {
                double due = rates[kind] / 1_000;
                for (int i = (int) due + (random.nextDouble() < due - (int) due ? 1 : 0); i > 0; i--) {
                    Caller caller = new Caller(kind, random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(TEAMS - 1));
                    callers.add(caller);
                    caller.ask();
                }
            }
        }
    }

    /** Counts the events of a name at all daemons and levels. */
    long count(String step) {
        return daemons.stream()
                .flatMap(d -> d.admissionCounters().values().entrySet().stream())
                .filter(e -> e.getKey().contains(".level_") && e.getKey().endsWith("." + step))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** A caller and the answer that it has got. */
    final class Caller implements Reply {
        final int kind;
        final int team;
        final long at = timers.nowMillis();
        boolean complete;
        private int tries;
        private long lastEventAt;
        private Forwarder.RequestHandle handle = () -> {};

        Caller(int kind, int team) {
            this.kind = kind;
            this.team = team;
        }

        void ask() {
            int asked = ++tries;
            lastEventAt = timers.nowMillis();
            String id = "r" + nextRequest++;
            handle = daemons.get(random.nextInt(daemons.size()))
                    .onRequest(
                            ForwardingTestBed.request(
                                    id,
                                    "/k" + kind + "/",
                                    "t" + team,
                                    at + TIME_BUDGET_MS - timers.nowMillis(),
                                    id.getBytes(StandardCharsets.UTF_8),
                                    List.of()),
                            this);
            watch(asked, handle);
        }

        private void watch(int asked, Forwarder.RequestHandle watched) {
            timers.after(Math.max(1, lastEventAt + PATIENCE_MS - timers.nowMillis()), () -> {
                if (!complete && asked == tries && timers.nowMillis() - lastEventAt >= PATIENCE_MS) {
                    watched.onCallerDisconnected();
                } else if (!complete && asked == tries) {
                    watch(asked, watched);
                }
            });
        }

        @Override
        public void refuse(Refusal refusal) {
            held.add(timers.nowMillis() - lastEventAt);
            if (tries == 1) {
                long left = at + TIME_BUDGET_MS - timers.nowMillis();
                timers.after(Math.min(refusal.retryAfterMillis(), left / 3), this::ask);
            }
        }

        @Override
        public void respond(TargetResponse given, byte[] body) {}

        @Override
        public void startStream(TargetResponse given) {}

        @Override
        public void sendEvents(byte[] bytes) {
            lastEventAt = timers.nowMillis();
        }

        @Override
        public void endStream() {
            complete = true;
        }

        @Override
        public void abort() {}

        @Override
        public boolean isReaderSlow() {
            return false;
        }
    }
}
