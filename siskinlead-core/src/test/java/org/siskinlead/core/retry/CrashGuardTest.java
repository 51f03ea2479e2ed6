package org.siskinlead.core.retry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargets;
import org.siskinlead.core.fakes.TestBed;

class CrashGuardTest {
    private static final String PROMPT = FakeTargets.CRASH_MARKER;

    @Test
    void stopsACrashingRequestAfterTwoTargetsHoweverOftenItIsSentAgain() {
        TestBed bed = TestBed.start(1, 4, 50, 1_000);

        for (int i = 0; i < 12; i++) {
            bed.checker.sendCompletion(bed.host(i % 4), PROMPT, 5, 5_000);
            bed.time.runUntil(bed.time.now() + 500);
        }

        assertThat(bed.targets.crashesByPrompt).containsExactly(PROMPT, 2);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void failsTheCrashingRequestAtOnceAndCompletesConcurrentRequests() {
        TestBed bed = TestBed.start(2, 4, 200, 10_000);
        List<String> concurrentRequests = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            concurrentRequests.add(bed.checker.sendCompletion(bed.host(i % 4), "innocent " + i, 100, 20_000));
        }
        bed.time.runUntil(bed.time.now() + 200);

        String crashing = bed.checker.sendCompletion(bed.host(0), PROMPT, 5, 20_000);
        bed.time.runUntil(bed.time.now() + 1_000);

        assertThat(bed.checker.outcome(crashing)).isEqualTo("failed");
        bed.time.runUntil(bed.time.now() + 12_000);
        for (String request : concurrentRequests) {
            assertThat(bed.checker.outcome(request)).isEqualTo("complete");
        }
        assertThat(bed.targets.crashesByPrompt).containsExactly(PROMPT, 2);
    }

    @Test
    void informsAFrozenDaemonBeforeItServesAgain() {
        TestBed bed = TestBed.start(3, 4, 50, 1_000);
        bed.host(3).freeze();
        bed.checker.sendCompletion(bed.host(0), PROMPT, 5, 8_000);
        bed.time.runUntil(bed.time.now() + 8_000);

        bed.host(3).thaw();
        for (int i = 0; i < 20; i++) {
            bed.checker.sendCompletion(bed.host(3), PROMPT, 5, 2_000);
            bed.time.runUntil(bed.time.now() + 300);
        }

        assertThat(bed.targets.crashesByPrompt.get(PROMPT)).isAtMost(2);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void countsACrashThatWasNotReportedBecauseTheDaemonDiedToo() {
        for (int killAt = 0; killAt < 60; killAt++) {
            TestBed bed = TestBed.start(killAt, 4, 50, 1_000);
            bed.checker.sendCompletion(bed.host(0), PROMPT, 5, 1_400);
            bed.time.runUntil(bed.time.now() + killAt);
            bed.host(0).kill();

            for (int i = 0; i < 12; i++) {
                bed.time.runUntil(bed.time.now() + 1_500 * (1 + i / 3));
                bed.checker.sendCompletion(bed.host(1 + i % 3), PROMPT, 5, 1_400);
            }
            bed.time.runUntil(bed.time.now() + 3_000);

            assertWithMessage("crashes when the daemon is killed %s ms after the request", killAt)
                    .that(bed.targets.crashesByPrompt.getOrDefault(PROMPT, 0))
                    .isAtMost(2);
        }
    }

    @Test
    void stopsAfterTwoTargetsWhenTheProbeOfTheFirstIsInconclusive() {
        TestBed bed = TestBed.start(6, 4, 50, 1_000);
        bed.targets.crashLingerMillis = 20;

        for (int i = 0; i < 12; i++) {
            bed.checker.sendCompletion(bed.host(i % 4), PROMPT, 5, 5_000);
            bed.time.runUntil(bed.time.now() + 500);
        }

        assertThat(bed.targets.crashesByPrompt.get(PROMPT)).isAtMost(2);
        assertThat(bed.checker.violations()).isEmpty();
    }
}
