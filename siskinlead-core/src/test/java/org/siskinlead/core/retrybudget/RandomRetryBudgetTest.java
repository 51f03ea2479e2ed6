package org.siskinlead.core.retrybudget;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;

/** Random schedules of faults while all daemons take as many retries as they get. */
class RandomRetryBudgetTest {
    private static final int SCHEDULES = Integer.getInteger("schedules", 24);
    private static final int FAULTS = 60;
    private static final double REQUESTS_PER_SECOND = 40;

    // Guards against retries beyond the budget of all daemons in the window after any of the faults.
    @Test
    void staysWithinTheBudgetInEveryWindowWhateverFails() {
        int claimed = 0;
        for (long seed = 1; seed <= SCHEDULES; seed++) {
            RetryFleet fleet = play(seed);
            claimed += fleet.claimed;
            assertWithMessage("excess with seed %s", seed)
                    .that(fleet.checker.worstExcess)
                    .isAtMost(0.0);
        }
        assertWithMessage("chunks claimed").that(claimed).isGreaterThan(100 * SCHEDULES);
    }

    private static RetryFleet play(long seed) {
        int daemons = new int[] {20, 33, 71, 120}[(int) (seed % 4)];
        RetryFleet fleet = new RetryFleet(new RetryBudgetShare.Budget(0.2, 7.0 * daemons, 10_000), daemons, seed);
        fleet.unreliable = seed % 3 == 0 ? 0.1 : 0;
        fleet.run(3_000, REQUESTS_PER_SECOND, daemon -> {});
        for (int i = 0; i < FAULTS; i++) {
            fail(fleet);
            fleet.run(200 + fleet.random.nextInt(2_500), REQUESTS_PER_SECOND, daemon -> needMany(fleet));
            if (fleet.random.nextInt(4) == 0) {
                // Chunks that were claimed ahead stay unused, and must not be used when others hold them again.
                fleet.run(fleet.random.nextInt(15_000), REQUESTS_PER_SECOND, daemon -> {});
            }
        }
        return fleet;
    }

    private static void needMany(RetryFleet fleet) {
        for (int i = 0; i < 4; i++) {
            fleet.anyRunning().need(Purpose.RESUME_OR_BUFFERED, 300);
        }
    }

    /** Ends a daemon unless a quarter have ended already; a fleet that shrinks to a small one is none that uses the pool. */
    private static void endOneOfAFew(RetryFleet fleet, RetryFleet.Daemon daemon) {
        if (fleet.daemons.stream().filter(d -> d.ended).count() < fleet.daemons.size() / 4) {
            daemon.end();
        }
    }

    private static void fail(RetryFleet fleet) {
        int index = fleet.random.nextInt(fleet.daemons.size());
        RetryFleet.Daemon daemon = fleet.daemons.get(index);
        switch (fleet.random.nextInt(9)) {
            case 0 -> endOneOfAFew(fleet, daemon);
            case 1, 2 -> fleet.restart(index);
            case 3 -> fleet.daemons.stream().limit(index / 2).forEach(d -> d.partition(true));
            case 4, 5 -> fleet.daemons.stream().filter(d -> !d.ended).forEach(d -> d.partition(false));
            case 6 -> fleet.store.mode = FakeLeaseStore.Mode.values()[fleet.random.nextInt(3)];
            case 7 -> fleet.store.mode = FakeLeaseStore.Mode.WORKING;
            default -> {
                if (fleet.random.nextInt(4) == 0) {
                    fleet.restoreStore();
                }
            }
        }
    }
}
