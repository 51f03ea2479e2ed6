package org.siskinlead.core.chains;

import java.util.List;
import java.util.Random;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Prints the time of a path search by the number of engines in a data centre, beside the exhaustive search. */
final class PathFinderCost {
    private static final double TOKENS = 900;
    private static final int WARM_UP_SEARCHES = 2_000;
    private static final int SEARCHES = 2_000;

    private PathFinderCost() {}

    public static void main(String[] arguments) {
        for (int engines : new int[] {13, 39, 66, 180}) {
            List<TargetHealth> targets = fleet(engines);
            PathFinder finder = PathFinder.of(Fleets.engineSpec(), LoadScale.uniform(30));
            ExhaustivePathSearch exhaustive = new ExhaustivePathSearch(Fleets.engineSpec(), LoadScale.uniform(30));
            System.out.printf(
                    "%d engines: %.1f us, exhaustive %.1f us%n",
                    engines,
                    microsOf(() -> finder.find(targets, TOKENS, MemoryCheck.ENFORCED)),
                    microsOf(() -> exhaustive.leastCost(targets, TOKENS, MemoryCheck.ENFORCED)));
        }
    }

    private static double microsOf(Runnable search) {
        for (int i = 0; i < WARM_UP_SEARCHES; i++) {
            search.run();
        }
        long startedAt = System.nanoTime();
        for (int i = 0; i < SEARCHES; i++) {
            search.run();
        }
        return (System.nanoTime() - startedAt) / 1_000.0 / SEARCHES;
    }

    /** Creates engines that each hold an eighth to a fifth of the layers, as plans for small accelerators do. */
    private static List<TargetHealth> fleet(int engines) {
        ManualTimers timers = new ManualTimers();
        TargetRegistry registry = TargetRegistry.of(
                timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}), StoreOutages.of(timers));
        timers.advance(10_000);
        Random random = new Random(1);
        for (int i = 0; i < engines; i++) {
            int length = 10 + random.nextInt(7);
            int from = i % 9 * 9;
            LayerRange layers = new LayerRange(from, Math.min(80, from + length));
            registry.register(Fleets.engine("e" + i, "dc", i % 2 == 0 ? "l4" : "t4", layers));
        }
        return registry.of(Fleets.SERVICE);
    }
}
