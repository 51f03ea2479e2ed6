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
 * Prints what a plan's room for tokens comes to against the bound, before and after the worst loss of one engine, and how
 * long it takes to plan. Room is that of the layer with the least, which bounds the streams that can run; the bound is all
 * memory of the data centre less one copy of the weights, spread evenly over the layers.
 */
public final class PlanReport {
    private static final EngineSpec SPEC = Fleets.engineSpec();
    private static final int[] SIZES = {10, 20, 40, 60, 80, 120, 160, 240, 320, 400};

    private PlanReport() {}

    public static void main(String[] arguments) {
        System.out.println("| fleet | engines | data centres | room / bound | after the worst loss / bound left"
                + " | plan of all, ms | plan after a loss, ms |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        report("both sites", Fleets.siteFleet());
        report("both sites", Fleets.siteFleet());
        Random random = new Random(20261204);
        for (int size : SIZES) {
            report("drawn", Fleets.randomFleet(random, size));
        }
    }

    private static void report(String name, Map<String, List<String>> fleet) {
        List<EngineSlot> empty = LayerPlannerTest.empty(fleet);
        long began = System.nanoTime();
        List<EngineSlot> engines = LayerPlannerTest.settled(empty);
        double planMs = (System.nanoTime() - began) / 1e6;
        double whole = 1;
        double worst = 1;
        double longest = 0;
        for (String dataCentre : new TreeSet<>(fleet.keySet())) {
            whole = Math.min(whole, share(engines, dataCentre));
        }
        for (EngineSlot lost : engines) {
            List<EngineSlot> left = new ArrayList<>(engines);
            left.remove(lost);
            began = System.nanoTime();
            List<EngineSlot> after = LayerPlannerTest.settled(left);
            longest = Math.max(longest, (System.nanoTime() - began) / 1e6);
            worst = Math.min(worst, share(after, lost.dataCentre()));
        }
        System.out.printf(
                Locale.ROOT,
                "| %s | %d | %d | %.2f | %.2f | %.1f | %.1f |%n",
                name,
                engines.size(),
                fleet.size(),
                whole,
                worst,
                planMs,
                longest);
    }

    private static double share(List<EngineSlot> engines, String dataCentre) {
        double tokenLayers = 0;
        double memory = 0;
        for (EngineSlot engine : engines) {
            if (engine.dataCentre().equals(dataCentre)) {
                memory += engine.kind().memoryMb();
                tokenLayers += SPEC.tokenLayers(engine.kind(), 0);
            }
        }
        double weights = SPEC.layers() * SPEC.layerMb();
        double bound = tokenLayers * (memory - weights) / memory / SPEC.layers();
        return bound <= 0 ? 1 : LayerPlannerTest.leastRoom(engines, dataCentre) / bound;
    }
}
