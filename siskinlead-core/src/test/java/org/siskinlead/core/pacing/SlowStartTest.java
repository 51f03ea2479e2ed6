package org.siskinlead.core.pacing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RateLimitFleet;
import org.siskinlead.core.fakes.WarmingFleet;
import org.siskinlead.core.fakes.WarmingTargets.Machine;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.routing.LayerRange;

/** Tests that targets that start or recover are neither overloaded nor left idle, whatever the number of daemons. */
class SlowStartTest {
    private static final long WARM_UP_MS = 3_000;
    private static final long LONG_WARM_UP_MS = 8_000;
    private static final double COLD_FACTOR = 5;
    private static final long PLAIN_MS = 90;
    private static final long EVENT_MS = 100;
    private static final double RATE = 170;
    private static final double RAISED_RATE = 225;
    private static final int SEEDS = 10;
    private static final int PLAIN_TARGETS = 4;
    private static final double PLAIN_SHARE = RATE / PLAIN_TARGETS;
    /** Requests of the whole fleet with which a target starts, doubled once. */
    private static final long MOST_AT_FIRST = 8;

    private static WarmingFleet plainFleet(int daemons, long seed) {
        WarmingFleet fleet = new WarmingFleet(daemons, true, seed);
        fleet.rate = RATE;
        for (int i = 1; i < PLAIN_TARGETS; i++) {
            fleet.start(ForwardingTestBed.plain("p" + i), PLAIN_MS);
        }
        fleet.run(10_000);
        return fleet;
    }

    private static Machine startCold(WarmingFleet fleet) {
        Machine cold = fleet.start(ForwardingTestBed.plain("p0"), PLAIN_MS);
        cold.coldFactor = COLD_FACTOR;
        cold.warmUpMillis = WARM_UP_MS;
        return cold;
    }

    private static void assertReachesShare(int daemons, double share, ToLongFunction<WarmingFleet> course) {
        assertReachesShare(daemons, share, WARM_UP_MS, course);
    }

    /**
     * Asserts that a target gets its share within twice its warm-up, as the mean of some seeds, and no answer is late.
     * @param course runs a fleet and returns the time at which the target started
     */
    private static void assertReachesShare(
            int daemons, double share, long warmUpMillis, ToLongFunction<WarmingFleet> course) {
        double reached = 0;
        int lost = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            WarmingFleet fleet = plainFleet(daemons, seed);
            long from = course.applyAsLong(fleet);
            long warm = from + 2 * warmUpMillis;
            fleet.run(warm + 2_000 - fleet.timers.nowMillis());
            reached += fleet.targets.get("p0").rateBetween(warm, warm + 2_000) / SEEDS;
            lost += fleet.lostBetween(from, warm + 1_000).size();
        }
        assertWithMessage("lost, rate %s, share %s", reached, share).that(lost).isEqualTo(0);
        assertThat(reached).isAtLeast(0.9 * share);
    }

    // Guards against many daemons that all send to a target that is not as fast yet as they expect.
    @ParameterizedTest
    @ValueSource(ints = {33, 71, 370})
    void aColdTargetReachesItsShareWithoutLateAnswers(int daemons) {
        assertReachesShare(daemons, PLAIN_SHARE, fleet -> startCold(fleet).startedAt);
    }

    // Guards against daemons that take their turns before the target is warm, which they cannot see without an answer.
    @ParameterizedTest
    @ValueSource(ints = {33, 71, 370})
    void aTargetWithALongWarmUpReachesItsShareWithoutLateAnswers(int daemons) {
        assertReachesShare(daemons, PLAIN_SHARE, LONG_WARM_UP_MS, fleet -> {
            Machine cold = startCold(fleet);
            cold.warmUpMillis = LONG_WARM_UP_MS;
            return cold.startedAt;
        });
    }

    // Guards against a pace that still limits a target when the load rises to what all targets can run together.
    @ParameterizedTest
    @ValueSource(ints = {33, 71, 370})
    void aTargetTakesItsSustainableRateWhenTheLoadRisesAfterItsWarmUp(int daemons) {
        assertReachesShare(daemons, RAISED_RATE / PLAIN_TARGETS, fleet -> {
            Machine cold = startCold(fleet);
            fleet.run(WARM_UP_MS + 1_000);
            fleet.rate = RAISED_RATE;
            return cold.startedAt;
        });
    }

    // Guards against refusals by a target that takes less than usual, each of which costs a send.
    @ParameterizedTest
    @ValueSource(ints = {33, 71})
    void aColdTargetThatRefusesReachesItsShare(int daemons) {
        assertReachesShare(daemons, PLAIN_SHARE, SlowStartTest::startColdThatRefuses);
    }

    // Guards against the same where each daemon's part of the retry budget is below one retry.
    @Test
    void aColdTargetThatRefusesReachesItsShareInALargeFleet() {
        assertReachesShare(370, PLAIN_SHARE, SlowStartTest::startColdThatRefuses);
    }

    private static long startColdThatRefuses(WarmingFleet fleet) {
        fleet.path = "/safe/x";
        Machine cold = startCold(fleet);
        cold.refuses = true;
        return cold.startedAt;
    }

    // Guards against a pace that counts only the first target of a path.
    @ParameterizedTest
    @ValueSource(ints = {33, 71, 370})
    void aPathThroughAColdEngineReachesItsRate(int daemons) {
        double sustained = pathRate(daemons, 1);

        assertThat(pathRate(daemons, COLD_FACTOR)).isAtLeast(0.9 * sustained);
    }

    /** Gets the rate of a new engine after twice its warm-up, which is the fastest one for the last layers. */
    private static double pathRate(int daemons, double coldFactor) {
        WarmingFleet fleet = new WarmingFleet(daemons, true, 7);
        fleet.rate = RATE;
        fleet.path = "/stream/x";
        for (int i = 0; i < 3; i++) {
            fleet.start(Fleets.engine("low" + i, "east", "big", new LayerRange(0, 60)), EVENT_MS);
            fleet.start(Fleets.engine("high" + i, "east", "h100", new LayerRange(60, 80)), EVENT_MS);
        }
        fleet.run(5_000);
        long from = fleet.timers.nowMillis();
        Machine cold = fleet.start(Fleets.engine("new", "east", "big", new LayerRange(60, 80)), EVENT_MS);
        cold.coldFactor = coldFactor;
        cold.warmUpMillis = WARM_UP_MS;
        fleet.run(2 * WARM_UP_MS + 4_000);

        assertThat(cold.sendsBetween(from, from + EVENT_MS)).isAtMost(MOST_AT_FIRST);
        assertThat(fleet.lostBetween(from, from + 2 * WARM_UP_MS)).isEmpty();
        return cold.rateBetween(from + 2 * WARM_UP_MS, from + 2 * WARM_UP_MS + 2_000);
    }

    // Guards against all daemons sending at once to a target that they have all found usable again, also twice.
    @ParameterizedTest
    @ValueSource(ints = {33, 71, 370})
    void aTargetThatFailsAgainDuringItsPaceIsNeitherFloodedNorLeftIdle(int daemons) {
        assertReachesShare(daemons, PLAIN_SHARE, fleet -> {
            Machine cold = startCold(fleet);
            fleet.run(10_000);
            fleet.interrupt(cold, 2_000);
            fleet.run(3_000);
            assertThat(cold.sendsBetween(cold.startedAt, cold.startedAt + PLAIN_MS))
                    .isAtMost(MOST_AT_FIRST);
            fleet.interrupt(cold, 2_000);
            fleet.run(2_000 + PLAIN_MS);
            assertThat(cold.sendsBetween(cold.startedAt, cold.startedAt + PLAIN_MS))
                    .isAtMost(MOST_AT_FIRST);
            return cold.startedAt;
        });
    }

    // Guards against a pace that refuses or holds what only paced targets can run.
    @ParameterizedTest
    @ValueSource(ints = {33, 71, 370})
    void losesNothingWhenAllTargetsStartAtOnce(int daemons) {
        WarmingFleet fleet = new WarmingFleet(daemons, true, 7);
        fleet.start(Fleets.engine("other", "east", "big", null), EVENT_MS);
        fleet.run(3_000);
        for (int i = 0; i < PLAIN_TARGETS; i++) {
            fleet.start(ForwardingTestBed.plain("p" + i), PLAIN_MS);
            fleet.start(Fleets.engine("low" + i, "east", "big", new LayerRange(0, 40)), EVENT_MS);
            fleet.start(Fleets.engine("high" + i, "east", "big", new LayerRange(40, 80)), EVENT_MS);
        }
        fleet.run(150);
        fleet.rate = RATE;
        fleet.run(2_000);
        fleet.path = "/stream/x";
        fleet.run(3_000);

        Pacing pacing = fleet.daemons.get(0).registry().pacing();
        assertThat(pacing.get(Pacing.Count.BEGUN)).isEqualTo(3 * PLAIN_TARGETS);
        assertThat(fleet.lostBetween(0, fleet.timers.nowMillis() - 1_000)).isEmpty();
    }

    // Guards against a start that no pace covers, and a pace of targets that other daemons have used for long.
    @Test
    void pacesRestartsAndNewLayersButNotWhatIsListedAtTheStart() {
        WarmingFleet fleet = plainFleet(33, 0);
        TargetRegistry registry = fleet.daemons.get(0).registry();
        RegisteredTarget engine = Fleets.engine("e", "east", "big", new LayerRange(0, 40));
        assertThat(registry.pacing().get(Pacing.Count.BEGUN)).isEqualTo(0);

        registry.register(engine);
        assertThat(registry.pacing().get(Pacing.Count.BEGUN)).isEqualTo(1);
        registry.register(engine.withLayers(new LayerRange(0, 50)));
        assertThat(registry.pacing().get(Pacing.Count.BEGUN)).isEqualTo(2);
        registry.register(engine.withLayers(new LayerRange(0, 50)));
        assertThat(registry.pacing().get(Pacing.Count.BEGUN)).isEqualTo(2);
        registry.register(new RegisteredTarget("e", 2, "engines", "10.0.0.1:9", "east", 134, false, "big", null));
        assertThat(registry.pacing().get(Pacing.Count.BEGUN)).isEqualTo(3);
    }

    // Guards against a flood by daemons that know fewer others, or that have just listed the target.
    @Test
    void toleratesDaemonsThatKnowOtherNumbersOrStartMeanwhile() {
        assertReachesShare(50, PLAIN_SHARE, fleet -> {
            for (int i = 50; i < 71; i++) {
                int known = i - 10;
                fleet.addDaemon("vm" + i, () -> fleet.vms().subList(0, known));
            }
            fleet.run(10_000);
            Machine cold = startCold(fleet);
            fleet.run(500);
            for (int i = 71; i < 74; i++) {
                fleet.addDaemon("vm" + i, fleet::vms);
            }
            assertThat(cold.sendsBetween(cold.startedAt, cold.startedAt + PLAIN_MS))
                    .isAtMost(MOST_AT_FIRST);
            return cold.startedAt;
        });
    }

    // Guards against daemons whose gateway does not know the others, and so paces nothing.
    @Test
    void isActiveInGatewaysOfMoreThanEightDaemons() {
        assertThat(isActiveAmong(9)).isTrue();
        assertThat(isActiveAmong(8)).isFalse();
    }

    private static boolean isActiveAmong(int daemons) {
        RateLimitFleet fleet = new RateLimitFleet(daemons, 1, 1);
        fleet.run(1_000);
        return fleet.daemons.get(0).gateway.registry().pacing().isActive();
    }

    // Guards against a change of behaviour in small fleets.
    @Test
    void pacesNothingInFleetsOfFewDaemons() {
        WarmingFleet fleet = plainFleet(4, 0);

        startCold(fleet);
        fleet.run(150);

        TargetHealth target = fleet.daemons.get(0).registry().find("p0").orElseThrow();
        assertThat(target.admits()).isTrue();
        assertThat(target.capacityFraction()).isEqualTo(1.0);
        assertThat(fleet.daemons.get(0).registry().pacing().get(Pacing.Count.BEGUN))
                .isEqualTo(0);
    }
}
