package org.siskinlead.core.idempotency;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.fakes.TestHost;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.serving.ServiceCall;
import org.siskinlead.core.serving.ServiceSink;

class IdempotencyTest {
    @Test
    void runsAKeyOnceWhenSeveralDaemonsReceiveItAtOnce() {
        for (int seed = 0; seed < 30; seed++) {
            TestBed bed = TestBed.start(seed, 4, 50, 1_000);

            for (int host = 0; host < 4; host++) {
                bed.checker.sendBooking(bed.host(host), "same");
            }
            bed.time.runUntil(bed.time.now() + 3_000);
            bed.checker.checkFinalState();

            assertThat(bed.targets.executionsByKey.get("crew/same")).isEqualTo(1);
            assertThat(bed.checker.violations()).isEmpty();
        }
    }

    @Test
    void reportsUnknownDuringAStoreOutage() {
        TestBed bed = TestBed.start(1, 4, 50, 1_000);
        bed.store.outage = true;

        String request = bed.checker.sendBooking(bed.host(0), "k");
        bed.time.runUntil(bed.time.now() + 4_000);
        bed.store.outage = false;
        String again = bed.checker.sendBooking(bed.host(1), "k");
        bed.time.runUntil(bed.time.now() + 4_000);

        assertThat(bed.checker.outcome(request)).isEqualTo("unknown");
        assertThat(bed.checker.refusals().get(0)).contains("KEY_RECORD_UNAVAILABLE");
        assertThat(bed.checker.outcome(again)).isEqualTo("complete");
        assertThat(bed.targets.executionsByKey).containsExactly("crew/k", 1);
    }

    @Test
    void sendsNothingWhoseClaimCouldNotBeStored() {
        TestBed bed = TestBed.start(7, 4, 200, 10_000);
        for (int i = 0; i < 40; i++) {
            bed.checker.sendBooking(bed.host(i % 4), "before-" + i);
        }
        bed.time.runUntil(bed.time.now() + 2_000);
        bed.store.outage = true;

        for (int i = 0; i < 40; i++) {
            bed.checker.sendBooking(bed.host(i % 4), "during-" + i);
        }
        bed.time.runUntil(bed.time.now() + 4_000);

        assertThat(bed.checker.countWithOutcome("complete")).isEqualTo(40);
        assertThat(bed.checker.countWithOutcome("unknown")).isEqualTo(40);
        assertThat(bed.targets.executionsByKey).hasSize(40);
    }

    @Test
    void neverReportsNotRunForAKeyThatRanThroughAKilledDaemon() {
        for (int killAt = 0; killAt < 200; killAt += 5) {
            TestBed bed = TestBed.start(killAt, 4, 200, 10_000);
            for (int i = 0; i < 60; i++) {
                bed.checker.sendBooking(bed.host(0), "key-" + i);
            }
            bed.time.runUntil(bed.time.now() + killAt);
            bed.host(0).kill();

            for (int i = 0; i < 60; i++) {
                bed.checker.sendBooking(bed.host(2), "key-" + i);
            }
            bed.time.runUntil(bed.time.now() + 6_000);

            assertThat(bed.checker.violations()).isEmpty();
        }
    }

    @Test
    void neverReportsNotRunForAKeyThatRanWhenTheTeamIsAtItsLimit() {
        TestBed bed = TestBed.start(9, 4, 1, 1_000);
        bed.checker.sendBooking(bed.host(0), "k");
        bed.time.runUntil(bed.time.now() + 1_000);
        for (int i = 0; i < 4; i++) {
            bed.checker.sendCompletion(bed.host(i), "long " + i, 2_000, 60_000);
        }
        bed.time.runUntil(bed.time.now() + 500);

        String again = bed.checker.sendBooking(bed.host(1), "k");
        bed.time.runUntil(bed.time.now() + 4_000);

        assertThat(bed.checker.outcome(again)).isEqualTo("unknown");
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void keepsReportingUnknownAfterADaemonDiedBetweenSendingAndAnswering() {
        TestBed bed = TestBed.start(2, 4, 50, 1_000);
        bed.targets.lostServiceAnswerProbability = 1.0;
        bed.checker.sendBooking(bed.host(0), "k");
        bed.time.runUntil(bed.time.now() + 200);
        bed.host(0).kill();
        bed.targets.lostServiceAnswerProbability = 0;
        bed.time.runUntil(bed.time.now() + 10_000);

        String again = bed.checker.sendBooking(bed.host(1), "k");
        bed.time.runUntil(bed.time.now() + 2_000);

        assertThat(bed.checker.outcome(again)).isEqualTo("unknown");
        assertThat(bed.targets.executionsByKey).containsExactly("crew/k", 1);
    }

    @Test
    void keepsAnsweredAndUnknownKeysWhenAllDaemonsAreReplaced() {
        TestBed bed = TestBed.start(3, 4, 50, 1_000);
        bed.checker.sendBooking(bed.host(0), "answered");
        bed.time.runUntil(bed.time.now() + 1_000);
        bed.targets.lostServiceAnswerProbability = 1.0;
        bed.checker.sendBooking(bed.host(1), "lost");
        bed.time.runUntil(bed.time.now() + 7_000);
        bed.targets.lostServiceAnswerProbability = 0;

        bed.hosts().forEach(TestHost::kill);
        for (int i = 0; i < 4; i++) {
            bed.startHost("vm-" + i);
        }
        bed.time.runUntil(bed.time.now() + 12_000);
        String answered = bed.checker.sendBooking(bed.host(2), "answered");
        String lost = bed.checker.sendBooking(bed.host(3), "lost");
        bed.time.runUntil(bed.time.now() + 3_000);

        assertThat(bed.checker.outcome(answered)).isEqualTo("complete");
        assertThat(bed.checker.outcome(lost)).isEqualTo("unknown");
        assertThat(bed.targets.executionsByKey).containsExactly("crew/answered", 1, "crew/lost", 1);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void recordsEachClaimOnceWhenTheStoresAnswersAreLost() {
        TestBed bed = TestBed.start(4, 4, 50, 1_000);
        bed.store.answerLossProbability = 0.2;

        for (int i = 0; i < 40; i++) {
            bed.checker.sendBooking(bed.host(i % 4), "key-" + i / 2);
            bed.time.runUntil(bed.time.now() + 100);
        }
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(bed.checker.countWithOutcome("complete")).isAtLeast(20);
        assertThat(bed.targets.executionsByKey.values().stream().allMatch(n -> n == 1))
                .isTrue();
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void refusesAKeyThatWasUsedForAnotherCall() {
        TestBed bed = TestBed.start(5, 4, 50, 1_000);
        List<RefusalCode> refusals = new ArrayList<>();
        bed.checker.sendBooking(bed.host(0), "k");
        bed.time.runUntil(bed.time.now() + 1_000);

        ServiceCall other = new ServiceCall("other", TestBed.TEAM, "bookings", "book", "k", "another body");
        bed.host(1).node().serving().serveCall(other, new ServiceSink() {
            @Override
            public void onAnswer(int status, String body, boolean replayed) {}

            @Override
            public void onRefused(Refusal refusal) {
                refusals.add(refusal.code());
            }
        });
        bed.time.runUntil(bed.time.now() + 1_000);

        assertThat(refusals).containsExactly(RefusalCode.KEY_MISMATCH);
        assertThat(bed.targets.executionsByKey).containsExactly("crew/k", 1);
    }

    @Test
    void batchesManyKeysIntoFewWrites() {
        TestBed bed = TestBed.start(6, 4, 2_000, 10_000);
        long writesBefore = bed.store.writes;

        for (int i = 0; i < 1_000; i++) {
            int number = i;
            bed.time.after(i, () -> bed.checker.sendBooking(bed.host(number % 4), "key-" + number));
        }
        bed.time.runUntil(bed.time.now() + 4_000);

        long writes = bed.store.writes - writesBefore;
        assertThat(bed.checker.countWithOutcome("complete")).isEqualTo(1_000);
        assertThat(writes).isAtMost(8 * 1_000 / KeyRecorder.MIN_WRITE_INTERVAL_MS * 2);
    }
}
