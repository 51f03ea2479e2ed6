package org.siskinlead.core.balancing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the spread of the requests of a whole fleet over engines, at the same load for any number of daemons. */
class PathSharesLoadTest {
    private static final double PER_SECOND = 194;
    private static final double MAX_RELATIVE_TO_SHARE = 1.5;
    /** Time after which daemons know their own load. */
    private static final long WARM_UP_MS = 8_000;
    /** Sends below which the number that an engine gets is mostly chance. */
    private static final double MIN_COUNTED_SENDS = 20;

    /** Guards against refusals of requests by targets that all daemons choose at once, while others have room. */
    @ParameterizedTest
    @ValueSource(ints = {4, 33, 71, 370})
    void servesAllCallersThatReturnWithinASecond(int daemons) {
        EngineFleet fleet = new EngineFleet(daemons, 2);
        fleet.run(1_000, t -> 200, t -> 200, t -> 200);
        fleet.run(4_000, t -> PER_SECOND);
        fleet.print("return of all callers", daemons);

        assertThat(fleet.refusedTwice()).isEqualTo(0);
        assertThat(fleet.lateFirstEvents()).isEqualTo(0);
        assertThat(fleet.busiestRelativeToShare()).isAtMost(MAX_RELATIVE_TO_SHARE);
        fleet.endAll();
        assertThat(fleet.incomplete()).isEmpty();
    }

    /** Guards against paths that many daemons prefer since each knows only a few requests of its own. */
    @ParameterizedTest
    @ValueSource(ints = {4, 33, 71, 370})
    void givesNoFirstTargetMuchMoreThanItsShareOfASteadyLoad(int daemons) {
        EngineFleet fleet = steady(daemons, 1);

        assertThat(fleet.refusals()).isEqualTo(0);
        assertThat(fleet.lateFirstEvents()).isEqualTo(0);
        assertThat(fleet.busiestRelativeToShare()).isAtMost(MAX_RELATIVE_TO_SHARE);
    }

    @Test
    void spreadsNoWorseInALargerFleet() {
        double ofLarge = 0;
        double ofSmall = 0;
        for (int seed = 1; seed <= 4; seed++) {
            ofLarge += steady(370, seed).busiestRelativeToShare();
            ofSmall += steady(33, seed).busiestRelativeToShare();
        }
        assertThat(ofLarge).isAtMost(ofSmall);
    }

    @ParameterizedTest
    @ValueSource(ints = {33, 71, 370})
    void followsWavesOfEachDataCentre(int daemons) {
        EngineFleet fleet = new EngineFleet(daemons, 3);
        fleet.run(WARM_UP_MS, wave(0), wave(1), wave(2));
        fleet.restartCounts();
        fleet.run(17_000, wave(0), wave(1), wave(2));
        fleet.print("waves", daemons);

        assertThat(fleet.refusedTwice()).isEqualTo(0);
        assertThat(fleet.busiestRelativeToShare()).isAtMost(MAX_RELATIVE_TO_SHARE);
    }

    /** Guards against streams lost, or refused again and again, when own knowledge of the targets is wrong. */
    @ParameterizedTest
    @ValueSource(ints = {33, 71, 370})
    void endsAllStreamsThoughEnginesAreSlowLostOrReportFalseLoads(int daemons) {
        EngineFleet fleet = new EngineFleet(daemons, 4);
        int number = 0;
        for (EngineFleet.Engine engine : fleet.engines.values()) {
            engine.slowness = number % 3 == 0 ? 2 : 1;
            engine.reportsNothing = number % 3 == 1;
            number++;
        }
        fleet.run(WARM_UP_MS, t -> PER_SECOND);
        fleet.restartCounts();
        fleet.run(3_000, t -> PER_SECOND);
        for (String gone : new String[] {"a-k24-0", "a-k24-1", "b-k56-0"}) {
            fleet.engines.get(gone).gone = true;
        }
        fleet.run(7_000, t -> PER_SECOND);
        fleet.print("slow, lost and false engines", daemons);
        fleet.endAll();

        assertThat(fleet.refusedTwice()).isEqualTo(0);
        assertThat(fleet.incomplete()).isEmpty();
        for (EngineFleet.Engine engine : fleet.engines.values()) {
            if (engine.reportsNothing) {
                assertWithMessage(engine.entry.id())
                        .that((double) engine.sends)
                        .isAtMost(MAX_RELATIVE_TO_SHARE * Math.max(MIN_COUNTED_SENDS, fleet.idealSends(engine)));
            }
        }
    }

    private static EngineFleet steady(int daemons, long seed) {
        EngineFleet fleet = new EngineFleet(daemons, seed);
        DoubleUnaryOperator third = t -> PER_SECOND / 3;
        fleet.run(WARM_UP_MS, third, third, third);
        fleet.restartCounts();
        fleet.run(10_000, third, third, third);
        fleet.print("steady load", daemons);
        return fleet;
    }

    private static DoubleUnaryOperator wave(int dataCentre) {
        return t -> PER_SECOND / 3 * (1 + 0.5 * Math.sin(2 * Math.PI * (t / 17 + dataCentre / 3.0)));
    }
}
