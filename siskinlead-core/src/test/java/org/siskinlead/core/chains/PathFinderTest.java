package org.siskinlead.core.chains;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests the choice of paths by data centre, free memory, slowdown and overlap of layer ranges. */
class PathFinderTest {
    private static final double TOKENS = 900;

    private final ManualTimers timers = new ManualTimers();
    private final TargetRegistry registry = TargetRegistry.of(
            timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}), StoreOutages.of(timers));

    @BeforeEach
    void advanceClock() {
        timers.advance(10_000);
    }

    @Test
    void staysInADataCentreThatHoldsEveryLayer() {
        add("a1", "a", 0, 40);
        add("a2", "a", 40, 80);
        add("b1", "b", 0, 40);
        add("b2", "b", 40, 80);

        HopPath path = find(MemoryCheck.ENFORCED).orElseThrow();

        assertThat(path.hops().stream()
                        .map(h -> h.target().entry().dataCentre())
                        .distinct()
                        .count())
                .isEqualTo(1);
    }

    /** Guards the shortcuts of the search: each skips only hops that cannot be part of a cheaper path. */
    @Test
    void findsThePathsOfAnExhaustiveSearchInRandomFleets() {
        Random random = new Random(20_261_204);
        for (int run = 0; run < 200; run++) {
            TargetRegistry fleet = TargetRegistry.of(
                    timers,
                    Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}),
                    StoreOutages.of(timers));
            int engines = 2 + random.nextInt(40);
            for (int i = 0; i < engines; i++) {
                int from = random.nextInt(5) == 0 ? 0 : random.nextInt(79);
                int to = random.nextInt(5) == 0 ? 80 : from + 1 + random.nextInt(80 - from);
                String kind = random.nextBoolean() ? "l4" : "a100s";
                fleet.register(Fleets.engine("e" + i, "dc", kind, new LayerRange(from, to)));
                fleet.find("e" + i).orElseThrow().reserve(random.nextInt(400_000));
            }
            List<TargetHealth> targets = fleet.of(Fleets.SERVICE);
            for (MemoryCheck check : MemoryCheck.values()) {
                LoadScale scale = LoadScale.uniform(3);
                double least = new ExhaustivePathSearch(Fleets.engineSpec(), scale).leastCost(targets, TOKENS, check);
                Optional<HopPath> found =
                        PathFinder.of(Fleets.engineSpec(), scale).find(targets, TOKENS, check);

                assertThat(found.isPresent()).isEqualTo(least < Double.POSITIVE_INFINITY);
                if (check == MemoryCheck.SKIPPED && found.isPresent()) {
                    assertThat(found.get().cost()).isWithin(1e-9).of(least);
                }
            }
        }
    }

    @Test
    void usesPartsOfOverlappingRanges() {
        add("a1", "a", 0, 30);
        add("a2", "a", 20, 55);
        add("a3", "a", 50, 80);

        HopPath path = find(MemoryCheck.ENFORCED).orElseThrow();

        assertThat(path.hops()).hasSize(3);
        assertThat(path.hops().get(2).layers().to()).isEqualTo(80);
    }

    @Test
    void crossesDataCentresOnlyWhenNoneHoldsEveryLayer() {
        add("a1", "a", 0, 40);
        add("b2", "b", 40, 80);

        assertThat(find(MemoryCheck.ENFORCED).orElseThrow().hops()).hasSize(2);
    }

    @Test
    void findsNothingWhenALayerHasNoHolder() {
        add("a1", "a", 0, 39);
        add("a2", "a", 40, 80);

        assertThat(find(MemoryCheck.SKIPPED)).isEmpty();
    }

    @Test
    void fillsTargetsOnlyUpToTheirMemory() {
        add("a1", "a", 0, 40);
        add("a2", "a", 40, 80);
        int admitted = 0;
        while (admitted < 1_000) {
            Optional<HopPath> path = find(MemoryCheck.ENFORCED);
            if (path.isEmpty()) {
                break;
            }
            path.get().reserve(TOKENS);
            admitted++;
        }

        double capacityTokens = Fleets.engineSpec().tokenLayerCapacity(Fleets.kind("h100"), 40) / 40;
        assertThat(admitted * TOKENS).isAtMost(1.1 * capacityTokens + TOKENS);
        assertThat(admitted * TOKENS).isAtLeast(0.9 * capacityTokens);
        assertThat(find(MemoryCheck.SKIPPED)).isPresent();
    }

    @Test
    void avoidsASlowTargetWhereAnotherHoldsItsLayers() {
        add("a1", "a", 0, 80);
        add("b1", "b", 0, 80);
        registry.find("a1").get().onSlowdown(12);

        assertThat(find(MemoryCheck.ENFORCED)
                        .orElseThrow()
                        .first()
                        .target()
                        .entry()
                        .id())
                .isEqualTo("b1");
    }

    @Test
    void spreadsRequestsOverDataCentresByFreeMemory() {
        for (String dataCentre : List.of("a", "b", "c")) {
            add(dataCentre + 1, dataCentre, 0, 40);
            add(dataCentre + 2, dataCentre, 40, 80);
        }
        List<String> used = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            HopPath path = find(MemoryCheck.ENFORCED).orElseThrow();
            path.reserve(TOKENS);
            used.add(path.first().target().entry().dataCentre());
        }

        assertThat(used.stream().filter("a"::equals).count()).isEqualTo(3);
        assertThat(used.stream().filter("b"::equals).count()).isEqualTo(3);
    }

    private Optional<HopPath> find(MemoryCheck memoryCheck) {
        List<TargetHealth> targets = registry.of(Fleets.SERVICE);
        return PathFinder.of(Fleets.engineSpec(), LoadScale.uniform(1)).find(targets, TOKENS, memoryCheck);
    }

    private void add(String id, String dataCentre, int from, int to) {
        String kind = to - from > 40 ? "big" : "h100";
        registry.register(Fleets.engine(id, dataCentre, kind, new LayerRange(from, to)));
    }
}
