package org.siskinlead.core.balancing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.chains.LoadScale;
import org.siskinlead.core.chains.PathFinder;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Places a load on engines request by request, each on the cheapest path with all others known: the ideal shares. */
final class WaterFilling {
    private WaterFilling() {}

    /** Computes the share of the sends of each first engine. A path that is twice as fast gets twice the sends. */
    static Map<String, Double> of(
            EngineSpec spec, Collection<EngineFleet.Engine> engines, double tokens, double inFlight) {
        ManualTimers timers = new ManualTimers();
        TargetRegistry registry = TargetRegistry.of(
                timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}), StoreOutages.of(timers));
        timers.advance(10_000);
        for (EngineFleet.Engine engine : engines) {
            if (!engine.gone) {
                registry.register(engine.entry);
                registry.find(engine.entry.id()).orElseThrow().onSlowdown(engine.slowness);
            }
        }
        Map<String, EngineFleet.Engine> byId =
                engines.stream().collect(Collectors.toMap(e -> e.entry.id(), Function.identity()));
        Map<String, Double> rates = new HashMap<>();
        for (int i = 0; i < Math.round(inFlight); i++) {
            HopPath path = PathFinder.of(spec, LoadScale.uniform(1))
                    .find(registry.of(Fleets.SERVICE), tokens, MemoryCheck.ENFORCED)
                    .orElseThrow();
            path.reserve(tokens);
            path.first().target().beginRequest();
            rates.merge(path.first().target().entry().id(), 1 / EngineFleet.stepMillis(path, byId), Double::sum);
        }
        double total = rates.values().stream().mapToDouble(r -> r).sum();
        rates.replaceAll((id, rate) -> rate / total);
        return rates;
    }
}
