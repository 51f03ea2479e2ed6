package org.siskinlead.core.balancing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.catalog.CallerLimits;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.catalog.Team;
import org.siskinlead.core.catalog.WeightedService;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.forwarding.Dispatch;
import org.siskinlead.core.forwarding.Forwarder;
import org.siskinlead.core.forwarding.LinkFailure;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.EngineState;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Forwarders of many daemons that share 86 engines of three kinds in three data centres, in virtual time. */
final class EngineFleet {
    static final int LAYERS = 80;
    private static final int SLOTS = 134;
    private static final double TOKENS_PER_LAYER = 69_791;
    private static final double TOKENS = 860;
    private static final int ANSWER_TOKENS = 160;
    private static final long REPORT_INTERVAL_MS = 200;
    private static final long EVENT_INTERVAL_MS = 100;
    private static final int STEPS_TO_FIRST_EVENT = 2;
    /** Ratio of the duration of a step to that of the decode alone; 194 requests a second are then 284 in flight. */
    private static final double STEP_OVERHEAD = 2.5;

    static final EngineSpec SPEC = spec();

    /** Leaves the choice of paths as the only cause of streams that do not complete. */
    private static final RetryBudgetShare.Budget UNLIMITED_RETRIES = new RetryBudgetShare.Budget(1, 1_000_000, 10_000);

    final ManualTimers timers = new ManualTimers();
    final Map<String, Engine> engines = new LinkedHashMap<>();
    final Map<String, RecordedReply> replies = new LinkedHashMap<>();
    /** Sends of each request that met an engine that is gone. */
    private final Map<String, Integer> lossesByRequest = new HashMap<>();
    /** Refusals for lack of capacity, without those that name an engine that is gone. */
    final Map<String, Integer> refusalsByRequest = new HashMap<>();

    final List<Forwarder> forwarders = new ArrayList<>();
    final List<Long> firstEventMillis = new ArrayList<>();
    private final Random random;
    private final Timeline timeline = Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {});
    private int nextRequest;
    private final Map<String, Double> shares = new HashMap<>();
    private double inFlightMillis;
    private long ranMillis;

    /** An engine with its true load. */
    static final class Engine {
        final RegisteredTarget entry;
        int running;
        int passing;
        double tokenLayers;
        double reported;
        double slowness = 1;
        boolean gone;
        boolean reportsNothing;
        int sends;

        Engine(RegisteredTarget entry) {
            this.entry = entry;
        }
    }

    EngineFleet(int daemons, long seed) {
        random = new Random(seed);
        timers.advance(10_000);
        for (String dataCentre : List.of("a", "b", "c")) {
            add(dataCentre, "k24", 40, 4);
            add(dataCentre, "k56", 16, 10);
            add(dataCentre, "k160", 8, dataCentre.equals("c") ? 14 : 15);
        }
        for (int i = 0; i < daemons; i++) {
            TargetRegistry registry = TargetRegistry.of(timers, timeline, StoreOutages.of(timers));
            engines.values().forEach(e -> registry.register(e.entry));
            Freshness freshness = Freshness.of(timers, Long.MAX_VALUE / 2);
            freshness.recordProof(Freshness.ClockReading.now(timers));
            TargetRateLimits limits = TargetRateLimits.of("vm" + i, List::of, timers, timeline);
            Forwarder forwarder = Forwarder.of(
                    timers,
                    timeline,
                    registry,
                    new Link(),
                    limits,
                    freshness,
                    () -> {},
                    RetryBudgetShare.of(UNLIMITED_RETRIES, () -> daemons, timers),
                    () -> daemons,
                    new Random(seed + i));
            forwarder.onCatalog(catalog());
            forwarders.add(forwarder);
        }
        timers.every(REPORT_INTERVAL_MS, () -> engines.values().forEach(e -> e.reported = e.running));
    }

    /** Sends requests for a time, with the rate of the requests a second of a data centre at a time in seconds. */
    void run(long millis, DoubleUnaryOperator... perSecondByDataCentre) {
        for (long t = 0; t < millis; t++) {
            timers.advance(1);
            ranMillis++;
            inFlightMillis += engines.values().stream().mapToInt(e -> e.running).sum();
            for (int dataCentre = 0; dataCentre < perSecondByDataCentre.length; dataCentre++) {
                double expected = perSecondByDataCentre[dataCentre].applyAsDouble(t / 1_000.0) / 1_000;
                for (int i = (int) expected; i >= 0; i--) {
                    if (random.nextDouble() < Math.min(1, expected - i)) {
                        send(dataCentre, perSecondByDataCentre.length);
                    }
                }
            }
        }
    }

    private void send(int dataCentre, int dataCentres) {
        int mine = (forwarders.size() - dataCentre + dataCentres - 1) / dataCentres;
        Forwarder forwarder = forwarders.get(dataCentre + dataCentres * random.nextInt(mine));
        String id = "r" + nextRequest++;
        RecordedReply reply = new RecordedReply();
        replies.put(id, reply);
        forwarder.onRequest(
                ForwardingTestBed.request(
                        id, "/stream/", ForwardingTestBed.KEY, 20_000, id.getBytes(StandardCharsets.UTF_8), List.of()),
                reply);
    }

    /** Lets the requests end that are in flight. */
    void endAll() {
        timers.advance(30_000);
    }

    long refusedTwice() {
        return refusalsByRequest.values().stream().filter(n -> n > 1).count();
    }

    int refusals() {
        return refusalsByRequest.values().stream().mapToInt(n -> n).sum();
    }

    /** Lists the streams that did not complete, without those that met engines that are gone at both sends. */
    List<String> incomplete() {
        return replies.keySet().stream()
                .filter(id -> !replies.get(id).complete && lossesByRequest.getOrDefault(id, 0) < 2)
                .toList();
    }

    /** Counts sends and load from now on only. */
    void restartCounts() {
        engines.values().forEach(e -> e.sends = 0);
        inFlightMillis = 0;
        ranMillis = 0;
    }

    long lateFirstEvents() {
        return firstEventMillis.stream().filter(t -> t > 500).count();
    }

    /** Sends to the busiest first engine, relative to its share by a water-filling of the mean load in flight. */
    double busiestRelativeToShare() {
        Engine busiest = engines.values().stream()
                .max((x, y) -> Integer.compare(x.sends, y.sends))
                .orElseThrow();
        return busiest.sends / idealSends(busiest);
    }

    /** Sends that a water-filling of the mean load in flight gives an engine. */
    double idealSends(Engine engine) {
        if (shares.isEmpty()) {
            shares.putAll(WaterFilling.of(SPEC, engines.values(), TOKENS, meanInFlight()));
        }
        int sends = engines.values().stream().mapToInt(e -> e.sends).sum();
        return sends * shares.getOrDefault(engine.entry.id(), 0.0);
    }

    double meanInFlight() {
        return inFlightMillis / ranMillis;
    }

    void print(String load, int daemons) {
        System.out.printf(
                "%s, %d daemons: %d requests, %d refusals, %d refused twice, %d late, %.0f in flight, busiest %.2f%n",
                load,
                daemons,
                replies.size(),
                refusals(),
                refusedTwice(),
                lateFirstEvents(),
                meanInFlight(),
                busiestRelativeToShare());
    }

    /** Duration of a decode step over a path, in milliseconds. */
    static double stepMillis(HopPath path, Map<String, Engine> engines) {
        double millis = 0;
        for (Hop hop : path.hops()) {
            Engine engine = engines.get(hop.target().entry().id());
            double factor = SPEC.kinds().get(engine.entry.accelerator()).stepTimeFactor() * engine.slowness;
            double batch = 1 + engine.passing * SPEC.perSequenceMillis() / SPEC.stepMillis();
            millis += 0.3 + hop.layerCount() / (double) LAYERS * SPEC.stepMillis() * factor * batch;
        }
        return STEP_OVERHEAD * millis;
    }

    private void add(String dataCentre, String kind, int layers, int count) {
        for (int i = 0; i < count; i++) {
            int from = i * layers % LAYERS;
            String id = dataCentre + "-" + kind + "-" + i;
            int port = 1_024 + engines.size();
            RegisteredTarget entry = new RegisteredTarget(
                    id,
                    1,
                    Fleets.SERVICE,
                    "10.0.0.1:" + port,
                    dataCentre,
                    SLOTS,
                    false,
                    kind,
                    new LayerRange(from, from + layers));
            engines.put(id, new Engine(entry));
        }
    }

    private final class Link implements TargetLink {
        @Override
        public Exchange send(Dispatch dispatch, Listener listener) {
            Engine first = engines.get(dispatch.target().id());
            HopPath path = java.util.Objects.requireNonNull(dispatch.path());
            Run run = new Run(dispatch.request().id(), path, first, listener, timers.nowMillis());
            timers.after(1, () -> run.begin(dispatch));
            return run::cancel;
        }

        @Override
        public void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult) {
            Engine engine = engines.get(target.id());
            timers.after(
                    2,
                    () -> onResult.accept(
                            engine.gone
                                    ? ProbeResult.unanswered(Health.CRASHED)
                                    : new ProbeResult(
                                            Health.ALIVE,
                                            Map.of(),
                                            new EngineState(
                                                    target.layers(), false, 0, engine.running, 0, engine.slowness))));
        }
    }

    private final class Run {
        private final String id;
        private final HopPath path;
        private final Engine first;
        private final TargetLink.Listener listener;
        private final long sentAt;
        private boolean ended;
        private boolean holds;
        private long written;

        Run(String id, HopPath path, Engine first, TargetLink.Listener listener, long sentAt) {
            this.id = id;
            this.path = path;
            this.first = first;
            this.listener = listener;
            this.sentAt = sentAt;
        }

        void begin(Dispatch dispatch) {
            if (ended) {
                return;
            }
            if (first.gone) {
                ended = true;
                lossesByRequest.merge(id, 1, Integer::sum);
                listener.onFailure(LinkFailure.REFUSED);
                return;
            }
            first.sends++;
            String refusing = refusingAddress();
            if (!refusing.isEmpty()) {
                ended = true;
                boolean isGone = engines.values().stream()
                        .anyMatch(e -> e.gone && e.entry.address().equals(refusing));
                (isGone ? lossesByRequest : refusalsByRequest).merge(id, 1, Integer::sum);
                listener.onHead(head(503, refusing.equals(first.entry.address()) ? "" : refusing));
                return;
            }
            hold(1);
            written = dispatch.lastEventId();
            double step = stepMillis(path, engines);
            double firstEvent = 700 / SPEC.prefillTokensPerSecond() * 1_000 * 3 + STEPS_TO_FIRST_EVENT * step;
            timers.after(Math.round(firstEvent), () -> {
                if (!ended) {
                    firstEventMillis.add(timers.nowMillis() - sentAt);
                    listener.onHead(head(200, ""));
                    write(EVENT_INTERVAL_MS / step);
                }
            });
        }

        private void write(double perInterval) {
            if (ended) {
                return;
            }
            if (path.hops().stream()
                    .anyMatch(h -> engines.get(h.target().entry().id()).gone)) {
                end();
                lossesByRequest.merge(id, 1, Integer::sum);
                listener.onFailure(LinkFailure.BROKEN);
                return;
            }
            long next = Math.min(ANSWER_TOKENS, written + Math.max(1, Math.round(perInterval)));
            listener.onBodyChunk(RecordedReply.streamText(written + 1, next).getBytes(StandardCharsets.UTF_8));
            written = next;
            if (written == ANSWER_TOKENS) {
                end();
                listener.onEnd();
            } else if (!ended) {
                timers.after(EVENT_INTERVAL_MS, () -> write(perInterval));
            }
        }

        private TargetResponse head(int status, String fault) {
            double load = first.reportsNothing ? 0 : first.reported;
            return new TargetResponse(
                    status,
                    status == 503,
                    status == 200,
                    true,
                    fault,
                    load,
                    false,
                    TargetResponse.UNLIMITED,
                    0,
                    List.of());
        }

        private String refusingAddress() {
            if (first.running >= SLOTS) {
                return first.entry.address();
            }
            for (Hop hop : path.hops()) {
                Engine engine = engines.get(hop.target().entry().id());
                LayerRange held = java.util.Objects.requireNonNull(engine.entry.layers());
                double capacity = TOKENS_PER_LAYER * (held.to() - held.from());
                if (engine.gone || engine.tokenLayers + TOKENS * hop.layerCount() > capacity) {
                    return engine.entry.address();
                }
            }
            return "";
        }

        private void hold(int sign) {
            holds = sign > 0;
            first.running += sign;
            for (Hop hop : path.hops()) {
                Engine engine = engines.get(hop.target().entry().id());
                engine.passing += sign;
                engine.tokenLayers += sign * TOKENS * hop.layerCount();
            }
        }

        private boolean isLost() {
            return path.hops().stream()
                    .anyMatch(h -> engines.get(h.target().entry().id()).gone);
        }

        void cancel() {
            if (!ended && isLost()) {
                lossesByRequest.merge(id, 1, Integer::sum);
            }
            end();
        }

        private void end() {
            ended = true;
            if (holds) {
                hold(-1);
            }
        }
    }

    private static Catalog catalog() {
        Route route = new Route(
                "stream",
                "host",
                "/stream/",
                RouteKind.STREAM,
                List.of(new WeightedService(Fleets.SERVICE, 1)),
                20_000,
                500,
                250,
                1,
                2,
                false,
                true);
        return Catalog.of(
                1,
                List.of(route),
                List.of(new Service(Fleets.SERVICE, "/health", 900, SPEC)),
                List.of(new Team("team", Set.of(ForwardingTestBed.KEY), 1)),
                new CallerLimits(16_384, 1_000_000, 3_000, 15_000));
    }

    private static EngineSpec spec() {
        EngineSpec site = Fleets.engineSpec();
        double perLayerMb = site.layerMb() + TOKENS_PER_LAYER * site.kvMbPerTokenLayer();
        Map<String, AcceleratorKind> kinds = Map.of(
                "k24", new AcceleratorKind("k24", 40 * perLayerMb, 2.4, 2.4),
                "k56", new AcceleratorKind("k56", 16 * perLayerMb, 5.6, 5.6),
                "k160", new AcceleratorKind("k160", 8 * perLayerMb, 16, 16));
        return new EngineSpec(
                site.model(),
                LAYERS,
                site.layerMb(),
                site.kvBytesPerToken(),
                site.stepMillis(),
                site.perSequenceMillis(),
                site.contextMillisPerThousandTokens(),
                site.prefillTokensPerSecond(),
                site.modelLoadSeconds(),
                site.maxConcurrentLoads(),
                site.meanPromptTokens(),
                site.meanAnswerTokens(),
                site.stepsPerPass(),
                SLOTS,
                site.activationBytesPerToken(),
                site.interconnectMbps(),
                kinds);
    }
}
