package org.siskinlead.core.retrybudget;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;

/** Load of a fleet at some of whose daemons answers are lost, while the others need no retries. */
class LostAnswersLoadTest {
    private static final RetryBudgetShare.Budget BUDGET = new RetryBudgetShare.Budget(0.2, 326, 10_000);
    private static final double REQUESTS_PER_SECOND = 194;
    private static final long FAULTS_MS = 8_000;
    private static final long PATIENCE_MS = 1_500;
    private static final long SEED = 7;
    /** Writes that the store takes in a second. */
    private static final int STORE_LIMIT = 1_200;

    // Guards against streams that end without a second send while the fleet has sent two thirds of its retries.
    @ParameterizedTest
    @CsvSource({"33, 0", "71, 0", "370, 20"})
    void deniesNoRetryWhileTheBudgetOfTheFleetHasRoom(int daemons, int mostDenied) {
        RetryFleet fleet = steadyFleet(daemons);
        int[] needed = new int[1];
        fleet.run(FAULTS_MS, REQUESTS_PER_SECOND, daemon -> {
            if (fleet.daemons.indexOf(daemon) < daemons / 4 && fleet.random.nextInt(2) == 0) {
                needed[0]++;
                daemon.need(Purpose.STREAM_START, PATIENCE_MS);
            }
        });
        fleet.run(PATIENCE_MS, REQUESTS_PER_SECOND, daemon -> {});

        assertThat(needed[0]).isGreaterThan(150);
        // With 370 daemons, each may write to the store twice a second, so a chunk that is taken costs half a second.
        assertThat(fleet.denied).isAtMost(mostDenied);
        assertThat(fleet.checker.total).isEqualTo(needed[0] - fleet.denied);
        assertThat(fleet.checker.worstExcess).isAtMost(0.0);
        assertThat(fleet.mostWritesPerSecond).isLessThan(STORE_LIMIT);
    }

    // Guards against a pool of which much stays unused, or is used beyond the budget, when all of it is needed.
    @ParameterizedTest
    @ValueSource(ints = {4, 33, 71, 370})
    void usesMostOfTheBudgetWhenMoreIsNeeded(int daemons) {
        RetryFleet fleet = steadyFleet(daemons);
        int[] needed = new int[1];
        fleet.run(FAULTS_MS, REQUESTS_PER_SECOND, daemon -> {
            if (fleet.daemons.indexOf(daemon) < daemons / 2) {
                needed[0]++;
                daemon.need(Purpose.RESUME_OR_BUFFERED, PATIENCE_MS);
            }
        }); // The parts of the daemons that need no retries stay unused: half of the shares, or of the private parts.
        double usable = 0.92 * (0.2 * REQUESTS_PER_SECOND * 10 / 2 + BUDGET.slack() * (daemons == 4 ? 0.5 : 0.95));
        assertThat(needed[0]).isGreaterThan((int) usable);
        assertThat((double) fleet.checker.total).isAtLeast(0.8 * usable);
        assertThat(fleet.checker.worstExcess).isAtMost(0.0);
        assertThat(fleet.mostWritesPerSecond).isLessThan(STORE_LIMIT);
    }

    private static RetryFleet steadyFleet(int daemons) {
        RetryFleet fleet = new RetryFleet(BUDGET, daemons, SEED);
        fleet.run(15_000, REQUESTS_PER_SECOND, daemon -> {});
        return fleet;
    }
}
