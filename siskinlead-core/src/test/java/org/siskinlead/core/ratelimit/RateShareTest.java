package org.siskinlead.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the shares of all daemons add up to the limit of a target, and their bursts leave the rule intact. */
class RateShareTest {
    private static final double WINDOW_S = 4;
    private static final double USED_PART_OF_RULE = 0.9;
    private static final double[] LIMITS = {0, 0.01, 0.3, 1, 1.5, 2.6, 5, 7.2, 18.8, 60, 300};

    private static List<String> vms(int count) {
        return IntStream.range(0, count).mapToObj(i -> "front-zone-" + i).toList();
    }

    private static List<RateShare> shares(List<String> vms, String instance, double limit) {
        List<RateShare> shares = new ArrayList<>();
        vms.forEach(vm -> RateShare.of(vm, vms, instance, limit).ifPresent(shares::add));
        return shares;
    }

    // Guards against a bound that holds for a few daemons, but not for many.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4, 12, 38, 100, 370})
    void addUpToTheLimitAndStayWithinTheRule(int daemons) {
        List<String> vms = vms(daemons);
        for (double limit : LIMITS) {
            List<RateShare> shares = shares(vms, "i-7@1", limit);

            double perSecond = shares.stream().mapToDouble(RateShare::perSecond).sum();
            double burst = shares.stream().mapToDouble(RateShare::burst).sum();
            assertThat(perSecond).isWithin(1e-6).of(Math.max(0.25, limit));
            assertWithMessage("requests in 4 s at a limit of %s", limit)
                    .that(perSecond * WINDOW_S + burst)
                    .isAtMost(USED_PART_OF_RULE * (1.5 * WINDOW_S * limit + 5) + 1e-6);
            shares.forEach(s -> assertThat(s.initial()).isLessThan(s.burst()));
        }
    }

    @Test
    void spreadTheTargetsOverTheDaemons() {
        List<String> vms = vms(38);
        Map<String, Integer> held = new HashMap<>();
        for (int target = 0; target < 200; target++) {
            String instance = "i-" + target + "@1";
            vms.stream()
                    .filter(vm -> RateShare.of(vm, vms, instance, 5).isPresent())
                    .forEach(vm -> held.merge(vm, 1, Integer::sum));
        }

        int all = held.values().stream().mapToInt(Integer::intValue).sum();
        assertThat(held).hasSize(38);
        held.values().forEach(count -> assertThat(count).isAtMost(2 * all / 38));
    }

    @Test
    void moveLittleWhenADaemonLeaves() {
        List<String> before = vms(38);
        List<String> after = before.subList(0, 37);
        int moved = 0;
        for (int target = 0; target < 100; target++) {
            String instance = "i-" + target + "@1";
            for (String vm : after) {
                Optional<RateShare> old = RateShare.of(vm, before, instance, 5);
                moved += old.isPresent() != RateShare.of(vm, after, instance, 5).isPresent() ? 1 : 0;
            }
        }

        assertThat(moved).isAtMost(40);
    }
}
