package org.siskinlead.core.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.TestBed;

/** Replays schedules on which random runs found a fault. */
class RegressionSchedulesTest {
    /** Value of {@code -Dseed} in the run that found the schedules. */
    private static final long SEED = 918_273_645;

    /** Guards against exceeding a lowered limit: five requests ran although the limit had been four for 4 s. */
    @Test
    void keepsToALoweredLimitWithMismatchedAnswersAndAPartition() {
        List<Disturbance> schedule = List.of(
                new Disturbance(0, Disturbance.Kind.MISMATCHED_ANSWERS, 0, 100),
                new Disturbance(6_701, Disturbance.Kind.PARTITION_ONE_WAY, 3, 208),
                new Disturbance(4_573, Disturbance.Kind.LOWER_LIMIT, 1, 150),
                new Disturbance(834, Disturbance.Kind.CRASHING_REQUEST, 4, 398));

        TestBed bed = runSchedule(schedule, 704_915_955);

        assertThat(bed.checker.violations()).isEmpty();
    }

    /** Guards against a daemon that never becomes active: it restarted while the store lost answers. */
    @Test
    void reactivatesADaemonThatRestartsWhileTheStoreLosesAnswers() {
        List<Disturbance> schedule = List.of(
                new Disturbance(0, Disturbance.Kind.STORE_LOSES_ANSWERS, 0, 7_991),
                new Disturbance(0, Disturbance.Kind.PARTITION_ONE_WAY, 0, 1_168),
                new Disturbance(6_536, Disturbance.Kind.KILL_DAEMON, 4, 597));

        TestBed bed = runSchedule(schedule, 209_663);

        assertThat(bed.checker.violations()).isEmpty();
    }

    /**
     * Guards against a request that crashes three targets: the first crash was attributed to another request, which
     * had been on trial on that target just before.
     */
    @Test
    void boundsACrashingRequestWhoseFirstCrashWasAttributedToAnother() {
        List<Disturbance> schedule = List.of(
                new Disturbance(249, Disturbance.Kind.KILL_ENGINE, 0, 100),
                new Disturbance(3, Disturbance.Kind.DRAIN_DAEMON, 7, 121),
                new Disturbance(829, Disturbance.Kind.CRASHING_REQUEST, 3, 150),
                new Disturbance(13_930, Disturbance.Kind.STORE_SLOW, 5, 926),
                new Disturbance(566, Disturbance.Kind.MISMATCHED_ANSWERS, 3, 158));

        TestBed bed = runSchedule(schedule, 1_703);

        assertThat(bed.checker.violations()).isEmpty();
    }

    /**
     * Guards against admitting a request while requests that began under a higher limit still exceed the lowered one:
     * one daemon kept a slot of its own although another one ran more than its part.
     */
    @Test
    void admitsNothingWhileRequestsFromBeforeALoweredLimitExceedIt() {
        List<Disturbance> schedule = List.of(
                new Disturbance(0, Disturbance.Kind.DRAIN_DAEMON, 0, 100),
                new Disturbance(10_257, Disturbance.Kind.LOWER_LIMIT, 1, 111),
                new Disturbance(9_825, Disturbance.Kind.CONCURRENT_VOTES, 7, 6_260),
                new Disturbance(374, Disturbance.Kind.STORE_READS_STALE, 2, 320),
                new Disturbance(6, Disturbance.Kind.CRASHING_REQUEST, 4, 2_359),
                new Disturbance(294, Disturbance.Kind.STORE_READS_STALE, 1, 111),
                new Disturbance(3_938, Disturbance.Kind.MISMATCHED_ANSWERS, 3, 454));
        long loadSeed = 3_062;

        TestBed bed = RandomScheduleTest.runSchedule(schedule, loadSeed, loadSeed ^ 527_718_203);

        assertThat(bed.checker.violations()).isEmpty();
    }

    private static TestBed runSchedule(List<Disturbance> schedule, long loadSeed) {
        return RandomScheduleTest.runSchedule(schedule, loadSeed, loadSeed ^ SEED);
    }
}
