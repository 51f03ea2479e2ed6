package org.siskinlead.core.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.routing.LayerRange;

/**
 * Tests that plans cover all layers, stay within memory and move few layers when engines are lost or added. Only plans
 * are tested; orders are not simulated.
 */
class LayerPlannerTest {
    private static final EngineSpec SPEC = Fleets.engineSpec();

    @Test
    void holdsEveryLayerInEachDataCentre() {
        List<EnginePlacement> engines = converge(withoutLayers(Fleets.siteFleet()));

        for (String dataCentre : List.of("a", "b", "c")) {
            assertWithMessage(dataCentre)
                    .that(countUncoveredLayersIn(engines, dataCentre))
                    .isEqualTo(0);
            assertWithMessage(dataCentre)
                    .that(minCapacityTokens(engines, dataCentre))
                    .isAtLeast(60_000.0);
        }
    }

    @Test
    void neverExceedsTheMemoryOfAnEngine() {
        Random random = new Random(7);
        for (int fleet = 0; fleet < 20; fleet++) {
            List<EnginePlacement> engines =
                    converge(withoutLayers(Fleets.randomFleet(random, 10 + random.nextInt(120))));
            for (int loss = 0; loss < 5 && engines.size() > 2; loss++) {
                engines.remove(random.nextInt(engines.size()));
                engines = converge(engines);
                for (EnginePlacement engine : engines) {
                    if (engine.layers() != null) {
                        double needed = length(engine.layers()) * SPEC.layerMb();
                        assertThat(needed).isAtMost(engine.kind().memoryMb());
                    }
                }
            }
        }
    }

    @Test
    void restoresCoverageInTheDataCentreOfAnyLostEngine() {
        List<EnginePlacement> engines = converge(withoutLayers(Fleets.siteFleet()));
        for (EnginePlacement lost : engines) {
            List<EnginePlacement> left = new ArrayList<>(engines);
            left.remove(lost);

            List<EnginePlacement> after = converge(left);

            assertWithMessage(lost.toString())
                    .that(countUncoveredLayersIn(after, lost.dataCentre()))
                    .isEqualTo(0);
        }
    }

    @Test
    void loadsOnlyAboutTheLostLayersAfterALoss() {
        List<EnginePlacement> engines = converge(withoutLayers(Fleets.siteFleet()));
        for (EnginePlacement lost : engines) {
            List<EnginePlacement> left = new ArrayList<>(engines);
            left.remove(lost);

            Map<String, LayerRange> moves = LayerPlanner.of(SPEC).plan(left);

            int loaded = 0;
            for (EnginePlacement engine : left) {
                LayerRange range = moves.get(engine.id());
                loaded += range == null ? 0 : newLayers(engine.layers(), range);
            }
            assertWithMessage(lost.toString()).that(loaded).isAtMost(length(lost.layers()) + 4);
        }
    }

    @Test
    void keepsMostOfTheCapacityOfAFreshPlanAfterSeveralLosses() {
        Random random = new Random(3);
        double minShare = 1;
        double sum = 0;
        int count = 0;
        for (int trial = 0; trial < 30; trial++) {
            List<EnginePlacement> engines = converge(withoutLayers(Fleets.siteFleet()));
            for (int loss = 0; loss < 4; loss++) {
                engines.remove(random.nextInt(engines.size()));
                engines = converge(engines);
            }
            List<EnginePlacement> fresh = converge(engines.stream()
                    .map(e -> new EnginePlacement(e.id(), e.dataCentre(), e.kind(), null, true, false))
                    .toList());
            for (String dataCentre : List.of("a", "b", "c")) {
                double share = minCapacityTokens(engines, dataCentre) / minCapacityTokens(fresh, dataCentre);
                minShare = Math.min(minShare, share);
                sum += share;
                count++;
            }
        }

        assertThat(sum / count).isAtLeast(0.9);
        assertThat(minShare).isAtLeast(0.5);
    }

    @Test
    void changesNothingWhileNothingIsLost() {
        List<EnginePlacement> engines = converge(withoutLayers(Fleets.siteFleet()));

        assertThat(LayerPlanner.of(SPEC).plan(engines)).isEmpty();
    }

    @Test
    void assignsLayersToAnEmptyEngine() {
        List<EnginePlacement> engines = converge(withoutLayers(Fleets.siteFleet()));
        EnginePlacement lost = engines.stream()
                .filter(e -> e.dataCentre().equals("a") && e.kind().name().equals("a100s"))
                .findFirst()
                .orElseThrow();
        engines.remove(lost);
        engines.add(new EnginePlacement("new", "a", Fleets.kind("a100s"), null, true, false));

        Map<String, LayerRange> moves = LayerPlanner.of(SPEC).plan(engines);

        assertThat(moves).containsKey("new");
    }

    @Test
    void spansDataCentresThatCannotHoldTheModelAlone() {
        Map<String, List<String>> small =
                Map.of("a", List.of("a100s", "a100s", "a100s"), "b", List.of("h100", "a100s"));

        List<EnginePlacement> engines = converge(withoutLayers(small));

        assertThat(countUncoveredLayers(engines)).isEqualTo(0);
    }

    @Test
    void releasesNoLastCopyOfALayerWhenEnginesAreSlow() {
        List<EnginePlacement> engines = converge(withoutLayers(Fleets.siteFleet()));
        Random random = new Random(11);
        for (int trial = 0; trial < 40; trial++) {
            List<EnginePlacement> withSlow = new ArrayList<>(engines);
            for (int slow = 0; slow < 5; slow++) {
                int index = random.nextInt(withSlow.size());
                EnginePlacement e = withSlow.get(index);
                withSlow.set(index, new EnginePlacement(e.id(), e.dataCentre(), e.kind(), e.layers(), true, true));
            }

            Map<String, LayerRange> moves = LayerPlanner.of(SPEC).plan(withSlow);

            for (EnginePlacement engine : withSlow) {
                LayerRange range = moves.get(engine.id());
                for (int layer = engine.layers().from();
                        range != null && layer < engine.layers().to();
                        layer++) {
                    boolean kept = layer >= range.from() && layer < range.to();
                    assertThat(kept || countOtherHolders(withSlow, engine, layer) > 0)
                            .isTrue();
                }
            }
        }
    }

    private static long countOtherHolders(List<EnginePlacement> engines, EnginePlacement except, int layer) {
        return engines.stream()
                .filter(e -> e.dataCentre().equals(except.dataCentre()) && !e.id().equals(except.id()))
                .filter(e -> e.layers().from() <= layer && layer < e.layers().to())
                .count();
    }

    @Test
    void movesNoEngineThatCarriesOutAnOrder() {
        List<EnginePlacement> engines = converge(withoutLayers(Fleets.siteFleet()));
        EnginePlacement lost = engines.remove(3);
        List<EnginePlacement> busy = engines.stream()
                .map(e -> new EnginePlacement(e.id(), e.dataCentre(), e.kind(), e.layers(), false, false))
                .toList();

        assertThat(LayerPlanner.of(SPEC).plan(busy)).isEmpty();
        assertThat(lost.id()).isNotEmpty();
    }

    static List<EnginePlacement> withoutLayers(Map<String, List<String>> fleet) {
        List<EnginePlacement> engines = new ArrayList<>();
        fleet.forEach((dataCentre, kinds) -> {
            for (String kind : kinds) {
                engines.add(new EnginePlacement(
                        dataCentre + engines.size(), dataCentre, Fleets.kind(kind), null, true, false));
            }
        });
        return engines;
    }

    /** Applies plans until the plan has no more changes. */
    static List<EnginePlacement> converge(List<EnginePlacement> before) {
        List<EnginePlacement> engines = new ArrayList<>(before);
        for (int round = 0; round < 60; round++) {
            Map<String, LayerRange> moves = new HashMap<>(LayerPlanner.of(SPEC).plan(engines));
            if (moves.isEmpty()) {
                return engines;
            }
            engines.replaceAll(e -> moves.containsKey(e.id())
                    ? new EnginePlacement(e.id(), e.dataCentre(), e.kind(), moves.get(e.id()), true, false)
                    : e);
        }
        throw new AssertionError("plan did not converge within 60 rounds: " + engines);
    }

    private static int countUncoveredLayersIn(List<EnginePlacement> engines, String dataCentre) {
        return countUncoveredLayers(
                engines.stream().filter(e -> e.dataCentre().equals(dataCentre)).toList());
    }

    private static int countUncoveredLayers(List<EnginePlacement> engines) {
        int uncovered = 0;
        for (double capacity : capacityByLayer(engines)) {
            uncovered += capacity == 0 ? 1 : 0;
        }
        return uncovered;
    }

    static double minCapacityTokens(List<EnginePlacement> engines, String dataCentre) {
        double min = Double.MAX_VALUE;
        for (double capacity : capacityByLayer(
                engines.stream().filter(e -> e.dataCentre().equals(dataCentre)).toList())) {
            min = Math.min(min, capacity);
        }
        return min;
    }

    private static double[] capacityByLayer(List<EnginePlacement> engines) {
        double[] capacity = new double[SPEC.layers()];
        for (EnginePlacement engine : engines) {
            LayerRange held = engine.layers();
            if (held != null) {
                for (int layer = held.from(); layer < held.to(); layer++) {
                    capacity[layer] += SPEC.tokenLayerCapacity(engine.kind(), length(held)) / length(held);
                }
            }
        }
        return capacity;
    }

    private static int newLayers(LayerRange held, LayerRange range) {
        int count = 0;
        for (int layer = range.from(); layer < range.to(); layer++) {
            count += held == null || layer < held.from() || layer >= held.to() ? 1 : 0;
        }
        return count;
    }

    private static int length(LayerRange range) {
        return range.to() - range.from();
    }
}
