package org.siskinlead.core.forwarding;

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
        ManualTimers timers = new ManualTimers();
        List<RetryBudgetShare> shares = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            shares.add(RetryBudgetShare.of(BUDGET, () -> 4, timers));
        }
        Random random = new Random(5);
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (int step = 0; step < 600; step++) {
            timers.advance(50);
            for (int i = 0; i < 12; i++) {
                RetryBudgetShare share = shares.get(random.nextInt(4));
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
        assertThat(retries.size()).isGreaterThan(200);
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
