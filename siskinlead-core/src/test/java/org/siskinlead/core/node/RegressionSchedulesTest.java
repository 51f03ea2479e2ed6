package org.siskinlead.core.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.TestBed;

/** Schedules that random runs found once, each with the fault that it showed. */
class RegressionSchedulesTest {
    /** The {@code -Dseed} of the run that found them. */
    private static final long SEED = 918_273_645;

    /** Five requests ran for a moment though the limit had been four for four seconds. */
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

    /** A daemon that was started anew while the store lost answers never came back into standing. */
    @Test
    void reactivatesADaemonThatRestartsWhileTheStoreLosesAnswers() {
        List<Disturbance> schedule = List.of(
                new Disturbance(0, Disturbance.Kind.STORE_LOSES_ANSWERS, 0, 7_991),
                new Disturbance(0, Disturbance.Kind.PARTITION_ONE_WAY, 0, 1_168),
                new Disturbance(6_536, Disturbance.Kind.KILL_DAEMON, 4, 597));

        TestBed bed = runSchedule(schedule, 209_663);

        assertThat(bed.checker.violations()).isEmpty();
    }

    /** A request took down three targets; the first death was put down to another request, on trial there just before. */
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

    private static TestBed runSchedule(List<Disturbance> schedule, long innerSeed) {
        return RandomScheduleTest.runSchedule(schedule, innerSeed, innerSeed ^ SEED);
    }
}
