package org.siskinlead.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.fakes.Fleets;

/**
 * Prints the KV cache capacity of plans relative to its upper bound, before and after the worst loss of one engine, and
 * the planning time. The capacity is that of the layer with the least, which limits the number of concurrent streams;
 * the bound is the memory of the data centre without one copy of the weights, distributed evenly over the layers.
 */
public final class PlanReport {
    private static final EngineSpec SPEC = Fleets.engineSpec();
    private static final int[] FLEET_SIZES = {10, 20, 40, 60, 80, 120, 160, 240, 320, 400};

    private PlanReport() {}

    public static void main(String[] arguments) {
        System.out.println("| fleet | engines | data centres | capacity / bound | after the worst loss / bound left"
                + " | plan of all, ms | plan after a loss, ms |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        report("site", Fleets.siteFleet());
        // Repeated, because the times of the first report include class loading and JIT compilation.
        report("site", Fleets.siteFleet());
        Random random = new Random(20261204);
        for (int size : FLEET_SIZES) {
            report("random", Fleets.randomFleet(random, size));
        }
    }

    private static void report(String name, Map<String, List<String>> fleet) {
        List<EnginePlacement> empty = LayerPlannerTest.withoutLayers(fleet);
        long began = System.nanoTime();
        List<EnginePlacement> engines = LayerPlannerTest.converge(empty);
        double planMs = (System.nanoTime() - began) / 1e6;
        double initialShare = 1;
        double minShareAfterLoss = 1;
        double maxPlanMs = 0;
        for (String dataCentre : new TreeSet<>(fleet.keySet())) {
            initialShare = Math.min(initialShare, capacityShare(engines, dataCentre));
        }
        for (EnginePlacement lost : engines) {
            List<EnginePlacement> left = new ArrayList<>(engines);
            left.remove(lost);
            began = System.nanoTime();
            List<EnginePlacement> after = LayerPlannerTest.converge(left);
            maxPlanMs = Math.max(maxPlanMs, (System.nanoTime() - began) / 1e6);
            minShareAfterLoss = Math.min(minShareAfterLoss, capacityShare(after, lost.dataCentre()));
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %d | %.2f | %.2f | %.1f | %.1f |%n",
                name,
                engines.size(),
                fleet.size(),
                initialShare,
                minShareAfterLoss,
                planMs,
                maxPlanMs);
    }

    private static double capacityShare(List<EnginePlacement> engines, String dataCentre) {
        double tokenLayers = 0;
        double memory = 0;
        for (EnginePlacement engine : engines) {
            if (engine.dataCentre().equals(dataCentre)) {
                memory += engine.kind().memoryMb();
                tokenLayers += SPEC.tokenLayerCapacity(engine.kind(), 0);
            }
        }
        double weights = SPEC.layers() * SPEC.layerMb();
        double bound = tokenLayers * (memory - weights) / memory / SPEC.layers();
        return bound <= 0 ? 1 : LayerPlannerTest.minCapacityTokens(engines, dataCentre) / bound;
    }
}
