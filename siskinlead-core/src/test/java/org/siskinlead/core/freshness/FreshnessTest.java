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
    void startLater() {
        timers.advance(10_000);
    }

    @Test
    void isNotFreshBeforeTheFirstProof() {
        assertThat(freshness.isFresh()).isFalse();
    }

    @Test
    void countsTheAgeFromTheMomentTheCallWasSent() {
        Freshness.Moment sent = Freshness.Moment.now(timers);
        timers.advance(3_000);
        freshness.onProof(sent);

        timers.advance(1_000);
        assertThat(freshness.isFresh()).isTrue();
        timers.advance(1);
        assertThat(freshness.isFresh()).isFalse();
    }

    @Test
    void losesTheProofWhenTheMachineWasSuspended() {
        freshness.onProof(Freshness.Moment.now(timers));

        timers.suspend(6_000);

        assertThat(freshness.isFresh()).isFalse();
    }

    @Test
    void losesTheProofWhenTheTimeOfDayJumpsEitherWay() {
        for (long jump : new long[] {2_400, -2_400}) {
            freshness.onProof(Freshness.Moment.now(timers));
            timers.jumpWallClock(jump);
            assertThat(freshness.isFresh()).isFalse();

            freshness.onProof(Freshness.Moment.now(timers));
            assertThat(freshness.isFresh()).isTrue();
        }
    }

    @Test
    void takesNoProofFromACallDuringWhichTheMachineWasSuspended() {
        Freshness.Moment sent = Freshness.Moment.now(timers);
        timers.suspend(8_000);

        freshness.onProof(sent);

        assertThat(freshness.isFresh()).isFalse();
    }

    @Test
    void keepsTheNewestProofWhenAnswersCross() {
        Freshness.Moment first = Freshness.Moment.now(timers);
        timers.advance(2_000);
        Freshness.Moment second = Freshness.Moment.now(timers);
        freshness.onProof(second);
        freshness.onProof(first);

        timers.advance(3_000);

        assertThat(freshness.isFresh()).isTrue();
    }
}
