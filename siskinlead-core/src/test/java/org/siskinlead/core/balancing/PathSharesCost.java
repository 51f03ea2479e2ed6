package org.siskinlead.core.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.chains.LoadScale;
import org.siskinlead.core.chains.PathFinder;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/**
 * Prints the time of a plan, of a draw with its checks, and of the search that a small fleet makes for each request, for 86
 * engines. Run with {@code -XX:TieredStopAtLevel=1} for code of the first compiler.
 */
final class PathSharesCost {
    private static final double TOKENS = 860;
    private static final int DAEMONS = 71;
    private static final int RUNS = 3_000;
    private static final int REQUESTS_PER_SECOND = 4;
    private static final int SECONDS = 500;
    private static final double MEAN_REQUEST_MS = 1_460;

    private PathSharesCost() {}

    public static void main(String[] arguments) {
        List<RegisteredTarget> regular = new EngineFleet(1, 1)
                .engines.values().stream().map(e -> e.entry).toList();
        measure("regular layout", regular);
        Random random = new Random(1);
        List<RegisteredTarget> overlapping = new ArrayList<>();
        for (RegisteredTarget engine : regular) {
            int from = overlapping.size() % 9 * 9;
            LayerRange layers = new LayerRange(from, Math.min(EngineFleet.LAYERS, from + 10 + random.nextInt(7)));
            overlapping.add(Fleets.engine(engine.id(), engine.dataCentre(), "k24", layers));
        }
        measure("overlapping layers", overlapping);
    }

    private static void measure(String layout, List<RegisteredTarget> engines) {
        ManualTimers timers = new ManualTimers();
        TargetRegistry registry = TargetRegistry.of(
                timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}), StoreOutages.of(timers));
        timers.advance(10_000);
        engines.forEach(registry::register);
        for (int load : new int[] {71, 284, 1_000, 1_400}) {
            List<TargetHealth> targets = registry.of(Fleets.SERVICE);
            System.out.printf(
                    "%s: plan of %d requests: %.0f us%n",
                    layout, load, micros(RUNS, () -> PathPlan.compute(EngineFleet.SPEC, targets, load, TOKENS, 0)));
        }
        System.out.printf(
                "%s: search: %.0f us%n",
                layout,
                micros(
                        RUNS,
                        () -> PathFinder.of(EngineFleet.SPEC, LoadScale.uniform(DAEMONS))
                                .find(registry.of(Fleets.SERVICE), TOKENS, MemoryCheck.ENFORCED)));
        Random random = new Random(1);
        int[] plans = new int[1];
        PathShares shares = PathShares.of(timers, () -> DAEMONS, random, () -> plans[0]++);
        double perRequest = micros(SECONDS * REQUESTS_PER_SECOND, () -> {
            timers.advance(exponentialMillis(random, 1_000.0 / REQUESTS_PER_SECOND));
            shares.update(EngineFleet.SPEC, registry.of(Fleets.SERVICE), TOKENS);
            HopPath path = shares.draw(TOKENS, p -> true).orElseThrow();
            path.first().target().beginRequest();
            path.reserve(TOKENS);
            timers.after(exponentialMillis(random, MEAN_REQUEST_MS), () -> {
                path.first().target().endRequest();
                path.reserve(-TOKENS);
            });
        });
        System.out.printf(
                "%s: request with updates of the plan: %.0f us, so %.2f ms a second; plans a second: %.2f%n",
                layout, perRequest, perRequest * REQUESTS_PER_SECOND / 1_000, plans[0] / 2.0 / SECONDS);
    }

    private static long exponentialMillis(Random random, double mean) {
        return Math.round(-Math.log(1 - random.nextDouble()) * mean);
    }

    private static double micros(int runs, Runnable task) {
        for (int i = 0; i < runs; i++) {
            task.run();
        }
        long startedAt = System.nanoTime();
        for (int i = 0; i < runs; i++) {
            task.run();
        }
        return (System.nanoTime() - startedAt) / 1_000.0 / runs;
    }
}
