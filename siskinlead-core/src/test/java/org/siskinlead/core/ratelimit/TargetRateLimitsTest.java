package org.siskinlead.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests what one daemon learns of limits, and when. */
class TargetRateLimitsTest {
    private static final String TARGET = "i-1@1";
    private static final double NONE = Double.POSITIVE_INFINITY;

    private final ManualTimers timers = new ManualTimers();
    private final List<String> vms = new ArrayList<>(List.of("vm0"));
    private final TargetRateLimits limits = TargetRateLimits.of(
            "vm0", () -> vms, timers, Timeline.of("vm0", HybridClock.of(timers::wallMillis), e -> {}));

    @BeforeEach
    void begin() {
        timers.advance(10_000);
    }

    private void answer(double perSecond) {
        limits.onAnswer(TARGET, timers.nowMillis(), perSecond);
    }

    private int sendAll(long millis) {
        int sent = 0;
        for (long i = 0; i < millis; i += 10) {
            while (limits.millisToSend(TARGET) == 0) {
                limits.onSent(TARGET);
                sent++;
            }
            timers.advance(10);
        }
        return sent;
    }

    @Test
    void sendsAtTheRateOfTheLimit() {
        answer(5);

        assertThat(sendAll(10_000)).isIn(com.google.common.collect.Range.closed(49, 56));
    }

    @Test
    void hasNoLimitForOtherTargets() {
        answer(5);

        assertThat(limits.millisToSend("i-1@2")).isEqualTo(0);
        assertThat(limits.limitedInstances()).containsExactly(TARGET);
    }

    // Guards against a limit that is forgotten because an answer from before it arrives late.
    @Test
    void keepsALimitWhenAnAnswerToAnEarlierRequestNamesNone() {
        long sentBefore = timers.nowMillis();
        timers.advance(50);
        answer(5);
        limits.onAnswer(TARGET, sentBefore, NONE);

        assertThat(limits.perSecond(TARGET)).isEqualTo(5);
        timers.advance(10);
        answer(NONE);
        assertThat(limits.millisToSend(TARGET)).isEqualTo(0);
    }

    @Test
    void ignoresALimitThatCannotBeRead() {
        answer(Double.NaN);
        assertThat(limits.limitedInstances()).isEmpty();

        answer(5);
        answer(Double.NaN);
        assertThat(limits.perSecond(TARGET)).isEqualTo(5);
    }

    // Guards against a target that says 0 never being asked again.
    @Test
    void asksATargetThatTakesNothingNowAndThen() {
        answer(0);

        assertThat(sendAll(20_000)).isIn(com.google.common.collect.Range.closed(4, 6));
    }

    // Guards against a limit that comes and goes giving a burst each time.
    @Test
    void beginsNoNewBurstWhenALimitReturns() {
        vms.addAll(List.of("vm1", "vm2", "vm3"));
        answer(1);
        sendAll(1_000);
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            answer(NONE);
            timers.advance(10);
            answer(1);
            sent += sendAll(10);
        }

        assertThat(sent).isAtMost(1);
    }

    @Test
    void believesAnAnswerOfItsOwnMoreThanAReport() {
        List<String> changed = new ArrayList<>();
        answer(5);
        limits.setChangeListener(changed::add);
        limits.onReport(TARGET, NONE);

        assertThat(limits.perSecond(TARGET)).isEqualTo(5);
        assertThat(changed).containsExactly(TARGET);
        timers.advance(2_001);
        limits.onReport(TARGET, NONE);
        assertThat(limits.limitedInstances()).isEmpty();
    }

    // Guards against a limit being withdrawn by a daemon that has not heard of it yet.
    @Test
    void believesAReportMoreThanAnAnswerWithoutLimit() {
        List<String> changed = new ArrayList<>();
        answer(5);
        timers.advance(5_000);
        answer(NONE);
        limits.setChangeListener(changed::add);
        timers.advance(100);
        answer(NONE);
        limits.onReport(TARGET, 3);

        assertThat(limits.perSecond(TARGET)).isEqualTo(3);
        assertThat(changed).isEmpty();
    }

    // Guards against a limit that was lowered being raised again by a daemon that has heard of the earlier one only.
    @Test
    void believesTheLowerOfALimitOfItsOwnAndAReport() {
        List<String> changed = new ArrayList<>();
        answer(5);
        limits.setChangeListener(changed::add);
        limits.onReport(TARGET, 1);
        assertThat(limits.perSecond(TARGET)).isEqualTo(1);
        assertThat(changed).isEmpty();

        limits.onReport(TARGET, 5);
        assertThat(limits.perSecond(TARGET)).isEqualTo(1);
        assertThat(changed).containsExactly(TARGET);
    }

    @Test
    void hasNoShareOfALimitThatOtherDaemonsHold() {
        for (int i = 1; i < 38; i++) {
            vms.add("vm" + i);
        }
        int shares = 0;
        for (int target = 0; target < 200; target++) {
            String instance = "i-" + target + "@1";
            limits.onAnswer(instance, timers.nowMillis(), 5);
            shares += limits.millisToSend(instance) < TargetRateLimits.NEVER ? 1 : 0;
        }

        assertThat(shares).isIn(com.google.common.collect.Range.closed(15, 60));
    }

    // Guards against shares that stay as they were when daemons come and go.
    @Test
    void sharesALimitWithDaemonsThatCome() {
        answer(4);
        int alone = sendAll(10_000);
        vms.addAll(List.of("vm1", "vm2", "vm3"));
        timers.advance(400);
        int shared = sendAll(10_000);

        assertThat(alone).isAtLeast(39);
        assertThat(shared).isIn(com.google.common.collect.Range.closed(9, 12));
    }
}
