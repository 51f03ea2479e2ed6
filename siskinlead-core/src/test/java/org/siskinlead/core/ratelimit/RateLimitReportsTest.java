package org.siskinlead.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.roster.Roster;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests that daemons tell each other of limits through the store, in bounded numbers of writes. */
class RateLimitReportsTest {
    private static final String TARGET = "i-1@1";
    private static final double NONE = Double.POSITIVE_INFINITY;

    private final ManualTimers timers = new ManualTimers();
    private final FakeLeaseStore store = new FakeLeaseStore(timers);
    private final Set<String> registered = new HashSet<>(Set.of(TARGET));
    private final List<TargetRateLimits> limits = new ArrayList<>();
    private final List<RateLimitReports> reports = new ArrayList<>();

    @BeforeEach
    void startThreeDaemons() {
        timers.advance(10_000);
        for (int i = 0; i < 3; i++) {
            start("vm" + i);
        }
    }

    private void start(String vm) {
        TargetRateLimits known = TargetRateLimits.of(
                vm,
                () -> List.of("vm0", "vm1", "vm2"),
                timers,
                Timeline.of(vm, HybridClock.of(timers::wallMillis), e -> {}));
        RateLimitReports report =
                RateLimitReports.of(known, store.client(), timers, new Random(1), () -> 3, registered::contains);
        limits.add(known);
        reports.add(report);
        store.attach(new FakeLeaseStore.Watcher() {
            @Override
            public void onKeyPresent(String key, byte[] value, long lease, Roster.Discovery discovery) {
                report.onKeyPresent(key, value);
            }

            @Override
            public void onKeyRemoved(String key) {
                report.onKeyRemoved(key);
            }
        });
    }

    private void answer(int daemon, String target, double perSecond) {
        limits.get(daemon).onAnswer(target, timers.nowMillis(), perSecond);
    }

    @Test
    void tellsTheOtherDaemonsOfALimitAndOfItsEnd() {
        answer(1, TARGET, 5);
        timers.advance(1_000);
        limits.forEach(l -> assertThat(l.perSecond(TARGET)).isEqualTo(5));

        timers.advance(3_000);
        answer(0, TARGET, NONE);
        timers.advance(1_000);
        limits.forEach(l -> assertThat(l.limitedInstances()).isEmpty());
        assertThat(store.keys()).isEmpty();
    }

    @Test
    void writesOneReportForManyTargetsAndNoneForSmallChanges() {
        for (int i = 0; i < 30; i++) {
            answer(0, "i-" + i + "@1", 5);
        }
        timers.advance(2_000);
        int writes = store.writes;
        for (int i = 0; i < 30; i++) {
            answer(0, "i-" + i + "@1", 5.1);
        }
        timers.advance(5_000);

        assertThat(writes).isAtMost(4);
        assertThat(store.writes).isEqualTo(writes);
        assertThat(limits.get(2).limitedInstances()).hasSize(30);
    }

    // Guards against a limit that differs with every answer filling the store's budget of writes.
    @Test
    void writesSeldomWhenALimitKeepsChanging() {
        for (int i = 0; i < 1_000; i++) {
            for (int daemon = 0; daemon < 3; daemon++) {
                answer(daemon, TARGET, 1 + 4 * ((i + daemon) % 2));
            }
            timers.advance(10);
        }

        assertThat(store.writes).isAtMost(3 * 6);
    }

    // Guards against a limit being unknown to daemons that start after the store was restored from a copy without it.
    @Test
    void reportsAgainAfterTheStoreWasRestored() {
        answer(0, TARGET, 5);
        timers.advance(1_000);
        store.restoreEmpty();
        reports.forEach(r -> {
            r.onStoreRestored();
            r.retainKeys(store.keys());
        });
        timers.advance(1_000);

        assertThat(store.keys()).containsExactly(RateLimitReports.PREFIX + TARGET);
        limits.forEach(l -> assertThat(l.perSecond(TARGET)).isEqualTo(5));
    }

    @Test
    void repeatsAReportThatWasNotAnswered() {
        store.mode = FakeLeaseStore.Mode.UNAVAILABLE;
        answer(0, TARGET, 5);
        timers.advance(4_000);
        assertThat(limits.get(2).limitedInstances()).isEmpty();

        store.mode = FakeLeaseStore.Mode.WORKING;
        timers.advance(4_000);
        assertThat(limits.get(2).perSecond(TARGET)).isEqualTo(5);
    }

    @Test
    void removesTheLimitOfATargetThatHasGone() {
        answer(0, TARGET, 5);
        timers.advance(15_000);
        assertThat(store.keys()).hasSize(1);

        registered.clear();
        timers.advance(25_000);
        assertThat(store.keys()).isEmpty();
        limits.forEach(l -> assertThat(l.limitedInstances()).isEmpty());
    }

    @Test
    void ignoresReportsThatCannotBeReadAndKeysThatAreTooLong() {
        for (String value : List.of("", "x", "-1", "NaN", "Infinity")) {
            reports.get(0).onKeyPresent(RateLimitReports.PREFIX + TARGET, value.getBytes(StandardCharsets.UTF_8));
        }
        assertThat(limits.get(0).limitedInstances()).isEmpty();

        answer(0, "i".repeat(190) + "@1", 5);
        timers.advance(5_000);
        assertThat(store.writes).isEqualTo(0);
    }
}
