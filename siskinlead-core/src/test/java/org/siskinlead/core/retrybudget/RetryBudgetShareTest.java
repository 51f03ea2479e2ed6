package org.siskinlead.core.retrybudget;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;

class RetryBudgetShareTest {
    private static final RetryBudgetShare.Budget BUDGET = new RetryBudgetShare.Budget(0.2, 196, 10_000);

    @Test
    void staysWithinTheBudgetOfAllDaemonsInEveryWindow() {
        assertThat(retriesWithinBudget(4, 12)).isGreaterThan(200);
    }

    // Guards against resumptions that exceed the budget when hundreds of streams lose a path at once, in any fleet.
    @Test
    void staysWithinTheBudgetHoweverManyDaemonsShareIt() {
        assertThat(retriesWithinBudget(38, 200)).isGreaterThan(200);
        assertThat(retriesWithinBudget(370, 200)).isGreaterThan(200);
    }

    /** Lets daemons take as many retries as they get, checks the budget in every window, and counts the retries. */
    private static int retriesWithinBudget(int daemons, int attemptsPerStep) {
        ManualTimers timers = new ManualTimers();
        List<RetryBudgetShare> shares = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            shares.add(RetryBudgetShare.of(BUDGET, () -> daemons, timers));
        }
        Random random = new Random(5);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (int step = 0; step < 600; step++) {
            timers.advance(50);
            for (int i = 0; i < attemptsPerStep; i++) {
                RetryBudgetShare share = shares.get(random.nextInt(daemons));
                if (random.nextInt(4) == 0) {
                    share.onRequest("s");
                    requests.add(timers.nowMillis());
                }
                if (share.tryAcquire("s", RetryBudgetShare.Purpose.RESUME_OR_BUFFERED)) {
                    retries.add(timers.nowMillis());
                }
            }
            long from = timers.nowMillis() - BUDGET.windowMillis();
            long requestCount = requests.stream().filter(t -> t > from).count();
            long retryCount = retries.stream().filter(t -> t > from).count();
            assertThat((double) retryCount).isAtMost(BUDGET.ratio() * requestCount + BUDGET.slack());
        }
        return retries.size();
    }

    @Test
    void reservesAPartForInterruptedStreams() {
        ManualTimers timers = new ManualTimers();
        RetryBudgetShare share = RetryBudgetShare.of(BUDGET, () -> 1, timers);
        while (share.tryAcquire("s", RetryBudgetShare.Purpose.STREAM_START)) {
            timers.advance(1);
        }

        assertThat(share.tryAcquire("s", RetryBudgetShare.Purpose.RESUME_OR_BUFFERED))
                .isTrue();
    }
}
