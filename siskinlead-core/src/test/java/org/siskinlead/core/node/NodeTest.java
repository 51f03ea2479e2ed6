package org.siskinlead.core.node;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.fakes.TestHost;

class NodeTest {
    @Test
    void servesACompletion() {
        TestBed bed = TestBed.start(1, 4, 10, 1_000);

        String request = bed.checker.sendCompletion(bed.host(2), "hello", 5, 10_000);
        bed.time.runUntil(8_000);
        bed.checker.checkFinalState();

        assertThat(bed.checker.outcome(request)).isEqualTo("complete");
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void runsABookingOnceThroughTwoDaemons() {
        TestBed bed = TestBed.start(2, 4, 10, 1_000);

        String first = bed.checker.sendBooking(bed.host(0), "k");
        bed.time.runUntil(6_000);
        String second = bed.checker.sendBooking(bed.host(3), "k");
        bed.time.runUntil(8_000);
        bed.checker.checkFinalState();

        assertThat(bed.checker.outcome(first)).isEqualTo("complete");
        assertThat(bed.checker.outcome(second)).isEqualTo("complete");
        assertThat(bed.targets.executionsByKey).containsExactly("crew/k", 1);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void completesRunningRequestsBeforeADrainEnds() {
        TestBed bed = TestBed.start(3, 4, 10, 1_000);
        TestHost leaving = bed.host(1);
        String request = bed.checker.sendCompletion(leaving, "a long answer", 800, 60_000);
        bed.time.runUntil(5_200);

        boolean[] left = new boolean[1];
        leaving.node().drain(() -> {
            left[0] = true;
            leaving.kill();
        });
        bed.time.runUntil(6_000);
        boolean offered = bed.host(0).node().entryVms().stream().anyMatch(m -> m.vm().equals("vm-1"));
        bed.time.runUntil(40_000);

        assertThat(offered).isFalse();
        assertThat(left[0]).isTrue();
        assertThat(bed.checker.outcome(request)).isEqualTo("complete");
    }
}
