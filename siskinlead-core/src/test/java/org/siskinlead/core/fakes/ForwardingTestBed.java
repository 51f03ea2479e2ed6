package org.siskinlead.core.fakes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.siskinlead.core.catalog.CallerLimits;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.catalog.Team;
import org.siskinlead.core.catalog.WeightedService;
import org.siskinlead.core.forwarding.Forwarder;
import org.siskinlead.core.forwarding.IncomingRequest;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Forwarder with fake targets: three plain ones, and two data centres in which two engines hold half a model each. */
public final class ForwardingTestBed {
    public static final long MAX_PROOF_AGE_MS = 4_000;
    public static final String KEY = "key";

    public final ManualTimers timers = new ManualTimers();
    public final Timeline timeline = Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {});
    public final StoreOutages outages = StoreOutages.untilFirstAnswer(timers);
    public final TargetRegistry registry = TargetRegistry.of(timers, timeline, outages);
    public final FakeTargetLink link = new FakeTargetLink(timers);
    public final TargetRateLimits rateLimits = TargetRateLimits.of("vm", List::of, timers, timeline);
    public final Freshness freshness = Freshness.of(timers, MAX_PROOF_AGE_MS);
    public final List<String> published = new ArrayList<>();
    public final Forwarder forwarder;
    public int renewalCount;
    private int nextRequestNumber;

    public ForwardingTestBed() {
        this(new RetryBudgetShare.Budget(0.2, 40, 10_000));
    }

    public ForwardingTestBed(RetryBudgetShare.Budget budget) {
        forwarder = Forwarder.of(
                timers,
                timeline,
                registry,
                link,
                rateLimits,
                freshness,
                () -> renewalCount++,
                RetryBudgetShare.of(budget, () -> 1, timers),
                () -> 1,
                new Random(1));
        forwarder.setDownNoticePublisher((instanceId, fingerprints) -> published.add(instanceId));
        timers.advance(5_000);
        outages.onAnswered();
        timers.advance(5_000);
        for (int i = 0; i < 3; i++) {
            registry.register(plain("p" + i));
        }
        for (String dataCentre : List.of("east", "west")) {
            registry.register(Fleets.engine(dataCentre + "-low", dataCentre, "h100", new LayerRange(0, 40)));
            registry.register(Fleets.engine(dataCentre + "-high", dataCentre, "h100", new LayerRange(40, 80)));
        }
        forwarder.onCatalog(catalog(1, Set.of(KEY)));
        renewProof();
    }

    public void renewProof() {
        freshness.recordProof(Freshness.ClockReading.now(timers));
        forwarder.onProof();
    }

    public static RegisteredTarget plain(String id) {
        return new RegisteredTarget(id, 1, "plain", "10.0.1.1:" + (100 + id.charAt(1)), "east", 6, false, "", null);
    }

    public static Catalog catalog(long version, Set<String> keys) {
        return Catalog.of(
                version,
                List.of(
                        route("safe", RouteKind.SAFE, "plain", 800, 300, 2),
                        route("unsafe", RouteKind.UNSAFE, "plain", 800, 300, 1),
                        route("stream", RouteKind.STREAM, Fleets.SERVICE, 20_000, 500, 2),
                        new Route(
                                "open",
                                "host",
                                "/open/",
                                RouteKind.SAFE,
                                List.of(new WeightedService("plain", 1)),
                                400,
                                300,
                                0,
                                1,
                                2,
                                true,
                                false)),
                List.of(
                        new Service("plain", "/health", 90, null),
                        new Service(Fleets.SERVICE, "/health", 900, Fleets.engineSpec())),
                List.of(new Team("team", keys, 1)),
                new CallerLimits(16_384, 1_000_000, 3_000, 15_000));
    }

    private static Route route(
            String name,
            RouteKind kind,
            String service,
            long timeoutMillis,
            long latencyObjectiveMillis,
            int attempts) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                kind,
                List.of(new WeightedService(service, 1)),
                timeoutMillis,
                latencyObjectiveMillis,
                200,
                1,
                attempts,
                false,
                kind == RouteKind.STREAM);
    }

    public IncomingRequest request(String path) {
        return request(path, KEY, 20_000);
    }

    public IncomingRequest request(String path, String key, long timeBudgetMillis) {
        return request("r" + nextRequestNumber++, path, key, timeBudgetMillis, new byte[] {1}, List.of());
    }

    public static IncomingRequest request(
            String id, String path, String key, long timeBudgetMillis, byte[] body, List<String> parts) {
        return new IncomingRequest(
                id, "POST", path, "host:80", List.of(), body, key, timeBudgetMillis, 700, 160, 160, 0, parts);
    }

    /** Creates a request whose prompt begins with a part that others may share. */
    public IncomingRequest requestWithPart(String path, String part) {
        String id = "r" + nextRequestNumber++;
        return request(id, path, KEY, 20_000, id.getBytes(StandardCharsets.UTF_8), List.of(part));
    }

    public RecordedReply send(String path) {
        RecordedReply reply = new RecordedReply();
        forwarder.onRequest(request(path), reply);
        return reply;
    }
}
