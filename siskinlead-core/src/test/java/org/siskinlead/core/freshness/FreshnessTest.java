package org.siskinlead.core.freshness;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;

class FreshnessTest {
    private static final long MAX_AGE_MS = 4_000;

    private final ManualTimers timers = new ManualTimers();
    private final Freshness freshness = Freshness.of(timers, MAX_AGE_MS);

    @BeforeEach
    void startAtNonzeroTime() {
        timers.advance(10_000);
    }

    @Test
    void isNotFreshBeforeTheFirstProof() {
        assertThat(freshness.isFresh()).isFalse();
    }

    @Test
    void countsTheAgeFromTheMomentTheCallWasSent() {
        Freshness.ClockReading sent = Freshness.ClockReading.now(timers);
        timers.advance(3_000);
        freshness.recordProof(sent);

        timers.advance(1_000);
        assertThat(freshness.isFresh()).isTrue();
        timers.advance(1);
        assertThat(freshness.isFresh()).isFalse();
    }

    @Test
    void losesTheProofWhenTheMachineWasSuspended() {
        freshness.recordProof(Freshness.ClockReading.now(timers));

        timers.suspend(6_000);

        assertThat(freshness.isFresh()).isFalse();
    }

    @Test
    void losesTheProofWhenTheWallClockJumpsEitherWay() {
        for (long jump : new long[] {2_400, -2_400}) {
            freshness.recordProof(Freshness.ClockReading.now(timers));
            timers.jumpWallClock(jump);
            assertThat(freshness.isFresh()).isFalse();

            freshness.recordProof(Freshness.ClockReading.now(timers));
            assertThat(freshness.isFresh()).isTrue();
        }
    }

    @Test
    void ignoresAProofWhenTheMachineWasSuspendedDuringTheCall() {
        Freshness.ClockReading sent = Freshness.ClockReading.now(timers);
        timers.suspend(8_000);

        freshness.recordProof(sent);

        assertThat(freshness.isFresh()).isFalse();
    }

    @Test
    void keepsTheNewestProofWhenAnswersArriveOutOfOrder() {
        Freshness.ClockReading first = Freshness.ClockReading.now(timers);
        timers.advance(2_000);
        Freshness.ClockReading second = Freshness.ClockReading.now(timers);
        freshness.recordProof(second);
        freshness.recordProof(first);

        timers.advance(3_000);

        assertThat(freshness.isFresh()).isTrue();
    }
}
