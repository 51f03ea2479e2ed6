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

/** Losses and arrivals of engines, by the plan alone: no order is played here. */
class LayerPlannerTest {
    private static final EngineSpec SPEC = Fleets.engineSpec();

    @Test
    void holdsEveryLayerInEachDataCentreOfTheUsersSites() {
        List<EngineSlot> engines = settled(empty(Fleets.siteFleet()));

        for (String dataCentre : List.of("a", "b", "c")) {
            assertWithMessage(dataCentre).that(uncovered(engines, dataCentre)).isEqualTo(0);
            assertWithMessage(dataCentre).that(leastRoom(engines, dataCentre)).isAtLeast(60_000.0);
        }
    }

    @Test
    void neverPlansMoreLayersThanAnEngineHolds() {
        Random random = new Random(7);
        for (int fleet = 0; fleet < 20; fleet++) {
            List<EngineSlot> engines = settled(empty(Fleets.randomFleet(random, 10 + random.nextInt(120))));
            for (int loss = 0; loss < 5 && engines.size() > 2; loss++) {
                engines.remove(random.nextInt(engines.size()));
                engines = settled(engines);
                for (EngineSlot engine : engines) {
                    if (engine.layers() != null) {
                        double needed = length(engine.layers()) * SPEC.layerMb();
                        assertThat(needed).isAtMost(engine.kind().memoryMb());
                    }
                }
            }
        }
    }

    @Test
    void makesTheLossOfAnyOneEngineGoodInItsDataCentre() {
        List<EngineSlot> engines = settled(empty(Fleets.siteFleet()));
        for (EngineSlot lost : engines) {
            List<EngineSlot> left = new ArrayList<>(engines);
            left.remove(lost);

            List<EngineSlot> after = settled(left);

            assertWithMessage(lost.toString())
                    .that(uncovered(after, lost.dataCentre()))
                    .isEqualTo(0);
        }
    }

    @Test
    void loadsOnlyAboutTheLostLayersAfterALoss() {
        List<EngineSlot> engines = settled(empty(Fleets.siteFleet()));
        for (EngineSlot lost : engines) {
            List<EngineSlot> left = new ArrayList<>(engines);
            left.remove(lost);

            Map<String, LayerRange> moves = LayerPlanner.of(SPEC).plan(left);

            int loaded = 0;
            for (EngineSlot engine : left) {
                LayerRange range = moves.get(engine.id());
                loaded += range == null ? 0 : newLayers(engine.layers(), range);
            }
            assertWithMessage(lost.toString()).that(loaded).isAtMost(length(lost.layers()) + 4);
        }
    }

    @Test
    void keepsMostOfTheRoomOfAFreshPlanAfterSeveralLosses() {
        Random random = new Random(3);
        double worst = 1;
        double sum = 0;
        int count = 0;
        for (int day = 0; day < 30; day++) {
            List<EngineSlot> engines = settled(empty(Fleets.siteFleet()));
            for (int loss = 0; loss < 4; loss++) {
                engines.remove(random.nextInt(engines.size()));
                engines = settled(engines);
            }
            List<EngineSlot> fresh = settled(engines.stream()
                    .map(e -> new EngineSlot(e.id(), e.dataCentre(), e.kind(), null, true, false))
                    .toList());
            for (String dataCentre : List.of("a", "b", "c")) {
                double share = leastRoom(engines, dataCentre) / leastRoom(fresh, dataCentre);
                worst = Math.min(worst, share);
                sum += share;
                count++;
            }
        }

        assertThat(sum / count).isAtLeast(0.9);
        assertThat(worst).isAtLeast(0.5);
    }

    @Test
    void changesNothingWhileNothingIsLost() {
        List<EngineSlot> engines = settled(empty(Fleets.siteFleet()));

        assertThat(LayerPlanner.of(SPEC).plan(engines)).isEmpty();
    }

    @Test
    void usesAnEmptyEngineWhereItIsMissedMost() {
        List<EngineSlot> engines = settled(empty(Fleets.siteFleet()));
        EngineSlot lost = engines.stream()
                .filter(e -> e.dataCentre().equals("a") && e.kind().name().equals("a100s"))
                .findFirst()
                .orElseThrow();
        engines.remove(lost);
        engines.add(new EngineSlot("new", "a", Fleets.kind("a100s"), null, true, false));

        Map<String, LayerRange> moves = LayerPlanner.of(SPEC).plan(engines);

        assertThat(moves).containsKey("new");
    }

    @Test
    void spansDataCentresThatCannotHoldTheModelAlone() {
        Map<String, List<String>> small =
                Map.of("a", List.of("a100s", "a100s", "a100s"), "b", List.of("h100", "a100s"));

        List<EngineSlot> engines = settled(empty(small));

        assertThat(uncoveredOf(engines)).isEqualTo(0);
    }

    @Test
    void tearsNothingDownForSlowEngines() {
        List<EngineSlot> engines = settled(empty(Fleets.siteFleet()));
        Random random = new Random(11);
        for (int day = 0; day < 40; day++) {
            List<EngineSlot> some = new ArrayList<>(engines);
            for (int slow = 0; slow < 5; slow++) {
                int index = random.nextInt(some.size());
                EngineSlot e = some.get(index);
                some.set(index, new EngineSlot(e.id(), e.dataCentre(), e.kind(), e.layers(), true, true));
            }

            Map<String, LayerRange> moves = LayerPlanner.of(SPEC).plan(some);

            for (EngineSlot engine : some) {
                LayerRange range = moves.get(engine.id());
                for (int layer = engine.layers().from();
                        range != null && layer < engine.layers().to();
                        layer++) {
                    boolean kept = layer >= range.from() && layer < range.to();
                    assertThat(kept || holders(some, engine, layer) > 0).isTrue();
                }
            }
        }
    }

    private static long holders(List<EngineSlot> engines, EngineSlot except, int layer) {
        return engines.stream()
                .filter(e -> e.dataCentre().equals(except.dataCentre()) && !e.id().equals(except.id()))
                .filter(e -> e.layers().from() <= layer && layer < e.layers().to())
                .count();
    }

    @Test
    void leavesAnEngineThatCarriesOutAnOrderAlone() {
        List<EngineSlot> engines = settled(empty(Fleets.siteFleet()));
        EngineSlot lost = engines.remove(3);
        List<EngineSlot> busy = engines.stream()
                .map(e -> new EngineSlot(e.id(), e.dataCentre(), e.kind(), e.layers(), false, false))
                .toList();

        assertThat(LayerPlanner.of(SPEC).plan(busy)).isEmpty();
        assertThat(lost.id()).isNotEmpty();
    }

    static List<EngineSlot> empty(Map<String, List<String>> fleet) {
        List<EngineSlot> engines = new ArrayList<>();
        fleet.forEach((dataCentre, kinds) -> {
            for (String kind : kinds) {
                engines.add(
                        new EngineSlot(dataCentre + engines.size(), dataCentre, Fleets.kind(kind), null, true, false));
            }
        });
        return engines;
    }

    /** Carries out plans until nothing changes any more. */
    static List<EngineSlot> settled(List<EngineSlot> before) {
        List<EngineSlot> engines = new ArrayList<>(before);
        for (int round = 0; round < 60; round++) {
            Map<String, LayerRange> moves = new HashMap<>(LayerPlanner.of(SPEC).plan(engines));
            if (moves.isEmpty()) {
                return engines;
            }
            engines.replaceAll(e -> moves.containsKey(e.id())
                    ? new EngineSlot(e.id(), e.dataCentre(), e.kind(), moves.get(e.id()), true, false)
                    : e);
        }
        throw new AssertionError("the plan does not settle: " + engines);
    }

    private static int uncovered(List<EngineSlot> engines, String dataCentre) {
        return uncoveredOf(
                engines.stream().filter(e -> e.dataCentre().equals(dataCentre)).toList());
    }

    private static int uncoveredOf(List<EngineSlot> engines) {
        int uncovered = 0;
        for (double room : rooms(engines)) {
            uncovered += room == 0 ? 1 : 0;
        }
        return uncovered;
    }

    static double leastRoom(List<EngineSlot> engines, String dataCentre) {
        double least = Double.MAX_VALUE;
        for (double room : rooms(
                engines.stream().filter(e -> e.dataCentre().equals(dataCentre)).toList())) {
            least = Math.min(least, room);
        }
        return least;
    }

    private static double[] rooms(List<EngineSlot> engines) {
        double[] rooms = new double[SPEC.layers()];
        for (EngineSlot engine : engines) {
            LayerRange held = engine.layers();
            if (held != null) {
                for (int layer = held.from(); layer < held.to(); layer++) {
                    rooms[layer] += SPEC.tokenLayers(engine.kind(), length(held)) / length(held);
                }
            }
        }
        return rooms;
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
