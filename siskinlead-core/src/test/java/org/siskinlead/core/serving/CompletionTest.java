package org.siskinlead.core.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargets;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.timeline.EventKind;

class CompletionTest {
    @Test
    void resumesWithTheSameTokensWhenATargetCrashesFreezesOrLeaves() {
        TestBed bed = TestBed.start(1, 4, 200, 10_000);
        List<String> requests = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            requests.add(bed.checker.sendCompletion(bed.host(i % 4), "stream " + i, 400, 30_000));
        }

        bed.time.runUntil(bed.time.now() + 500);
        bed.targets.kill(bed.targets.engines().get(0));
        bed.time.runUntil(bed.time.now() + 500);
        bed.targets.engines().get(3).frozen = true;
        bed.time.runUntil(bed.time.now() + 500);
        bed.targets.engines().get(4).leaving = true;
        bed.time.runUntil(bed.time.now() + 1_500);
        bed.targets.thaw(bed.targets.engines().get(3));
        bed.time.runUntil(bed.time.now() + 15_000);

        for (String request : requests) {
            assertThat(bed.checker.outcome(request)).isEqualTo("complete");
        }
        assertThat(bed.count(EventKind.REQUEST_RESUMED)).isAtLeast(5);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void dropsAnswersThatBelongToAnotherRequest() {
        TestBed bed = TestBed.start(2, 4, 200, 10_000);
        bed.targets.mismatchedAnswerProbability = 0.01;

        for (int i = 0; i < 40; i++) {
            bed.checker.sendCompletion(bed.host(i % 4), "stream " + i, 50, 30_000);
        }
        bed.time.runUntil(bed.time.now() + 15_000);

        long mismatched = bed.hosts().stream()
                .mapToLong(h -> h.node().serving().counters().mismatchedAnswers())
                .sum();
        assertThat(mismatched).isAtLeast(5);
        assertThat(bed.checker.countWithOutcome("complete")).isAtLeast(35);
        assertThat(bed.checker.violations()).isEmpty();
    }

    // Guards against callers whose time begins anew when their request has waited for a slot.
    @Test
    void endsByTheDeadlineCountedFromTheArrivalAlsoAfterAWait() {
        TestBed bed = TestBed.start(4, 1, 1, 10_000);
        String first = bed.checker.sendCompletion(bed.host(0), "first", 20, 30_000);
        long arrivedAt = bed.time.now();
        String second = bed.checker.sendCompletion(bed.host(0), "second", 400, 2_500);
        while (!"complete".equals(bed.checker.outcome(first)) && bed.time.now() < arrivedAt + 2_000) {
            bed.time.runUntil(bed.time.now() + 10);
        }
        long waitedMillis = bed.time.now() - arrivedAt;
        for (FakeTargets.Engine engine : bed.targets.engines()) {
            engine.frozen = true;
        }
        bed.time.runUntil(arrivedAt + 2_500 + 10);

        assertThat(waitedMillis).isAtLeast(100);
        assertThat(bed.checker.countWithOutcome("complete")).isEqualTo(1);
        assertThat(bed.checker.outcome(second)).isAnyOf("failed", "not-run");
    }

    @Test
    void reportsNotRunWhenNoTargetsCoverAllLayers() {
        TestBed bed = TestBed.start(3, 4, 200, 10_000);
        for (FakeTargets.Engine engine : bed.targets.engines()) {
            engine.leaving = true;
        }
        bed.time.runUntil(bed.time.now() + 1_000);

        String request = bed.checker.sendCompletion(bed.host(0), "no chain", 5, 10_000);
        bed.time.runUntil(bed.time.now() + 5_000);

        assertThat(bed.checker.outcome(request)).isEqualTo("not-run");
    }

    @Test
    void givesALeavingTargetNoNewWorkWithinThreeSeconds() {
        TestBed bed = TestBed.start(4, 4, 200, 10_000);
        FakeTargets.Engine leaving = bed.targets.engines().get(0);
        leaving.leaving = true;
        bed.time.runUntil(bed.time.now() + 3_000);

        for (int i = 0; i < 40; i++) {
            bed.checker.sendCompletion(bed.host(i % 4), "late " + i, 5, 10_000);
        }
        bed.time.runUntil(bed.time.now() + 5_000);

        assertThat(bed.targets.prefillsWhileLeaving(leaving)).isEqualTo(0);
        assertThat(bed.checker.countWithOutcome("complete")).isEqualTo(40);
    }

    @Test
    void usesAnotherTargetWhenOneDeclinesDespiteAHealthyReport() {
        TestBed bed = TestBed.start(5, 4, 200, 10_000);
        bed.targets.engines().get(0).declinesSteps = true;
        bed.targets.engines().get(1).declinesSteps = true;

        for (int i = 0; i < 200; i++) {
            int number = i;
            bed.time.after(
                    20L * i, () -> bed.checker.sendCompletion(bed.host(number % 4), "call " + number, 5, 10_000));
        }
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(bed.checker.countWithOutcome("complete")).isEqualTo(200);
    }
}
