package org.siskinlead.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargets;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.fakes.TestHost;
import org.siskinlead.core.routing.ModelVersion;

class PlacementControllerTest {
    private static final ModelVersion MODEL = new ModelVersion("m", "v1");

    @Test
    void restoresLostLayers() {
        TestBed bed = TestBed.start(1, 4, 50, 1_000);
        killAllOf(bed, "second-");
        bed.time.runUntil(bed.time.now() + 30_000);

        String request = bed.checker.sendCompletion(bed.host(0), "after the loss", 5, 10_000);
        bed.time.runUntil(bed.time.now() + 3_000);

        assertThat(bed.checker.outcome(request)).isEqualTo("complete");
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void issuesNoOrderWhileNoEngineIsLost() {
        TestBed bed = TestBed.start(2, 4, 50, 1_000);

        bed.time.runUntil(bed.time.now() + 60_000);

        assertThat(bed.targets.orders).isEmpty();
    }

    @Test
    void issuesOrdersFromOneOwnerPerNonDecreasingFencingToken() {
        TestBed bed = TestBed.start(3, 4, 50, 1_000);
        killAllOf(bed, "second-");
        for (int round = 0; round < 4; round++) {
            bed.time.runUntil(bed.time.now() + 6_000);
            TestHost host = bed.host(round);
            host.freeze();
            bed.time.runUntil(bed.time.now() + 15_000);
            host.thaw();
        }

        long last = 0;
        Map<Long, String> senders = new HashMap<>();
        for (int i = 0; i < bed.targets.orders.size(); i++) {
            long fencing = bed.targets.orders.get(i).fencingToken();
            String sender = bed.targets.orderSenders.get(i);
            assertThat(fencing).isAtLeast(last);
            assertThat(senders.computeIfAbsent(fencing, f -> sender)).isEqualTo(sender);
            last = fencing;
        }
        assertThat(bed.targets.orders).isNotEmpty();
    }

    @Test
    void completesRequestsWhenAnEngineIgnoresFencingAndAppliesALateOrder() {
        TestBed bed = TestBed.start(4, 4, 50, 1_000);
        bed.targets.ignoreFencing = true;
        bed.targets.orderDelayMillis = 9_000;
        bed.targets.kill(bed.targets.engines().get(1));
        bed.targets.kill(bed.targets.engines().get(3));
        bed.targets.kill(bed.targets.engines().get(5));
        for (int i = 0; i < 300; i++) {
            int number = i;
            bed.time.after(
                    200L * i, () -> bed.checker.sendCompletion(bed.host(number % 4), "steady " + number, 10, 10_000));
        }

        bed.time.runUntil(bed.time.now() + 80_000);

        assertThat(bed.targets.orders).isNotEmpty();
        assertThat(bed.checker.countWithOutcome("complete")).isAtLeast(295);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void keepsTheMinimumThroughputWhileAnEngineLoads() {
        TestBed bed = TestBed.start(5, 4, 50, 1_000);
        bed.targets.kill(bed.targets.engines().get(1));
        bed.targets.kill(bed.targets.engines().get(3));
        double lowest = Double.MAX_VALUE;
        bed.time.runUntil(bed.time.now() + 2_900);
        double before = bed.host(0).node().fleet().throughputBound(MODEL);

        for (int i = 0; i < 300; i++) {
            bed.time.runUntil(bed.time.now() + 100);
            lowest = Math.min(lowest, bed.host(0).node().fleet().throughputBound(MODEL));
        }

        assertThat(lowest).isAtLeast(PlacementPlanner.MIN_THROUGHPUT_SHARE * before);
        assertThat(bed.host(0).node().fleet().throughputBound(MODEL)).isGreaterThan(before);
    }

    private static void killAllOf(TestBed bed, String vmPrefix) {
        List<FakeTargets.Engine> engines = bed.targets.engines();
        for (int i = 0; i < engines.size(); i++) {
            if (bed.targets.vmOf(engines.get(i)).startsWith(vmPrefix)) {
                bed.targets.kill(engines.get(i));
            }
        }
    }
}
