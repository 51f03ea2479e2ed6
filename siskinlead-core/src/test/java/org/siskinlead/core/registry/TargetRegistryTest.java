package org.siskinlead.core.registry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests entries that lapse or are removed, targets that are leaving, and restarts under the same identity. */
class TargetRegistryTest {
    private final ManualTimers timers = new ManualTimers();
    private final StoreOutages outages = StoreOutages.untilFirstAnswer(timers);
    private final TargetRegistry registry =
            TargetRegistry.of(timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}), outages);

    @BeforeEach
    void registerTarget() {
        outages.onAnswered();
        timers.advance(10_000);
        registry.register(entry(1, false));
    }

    @Test
    void removesATargetAtOnceWhenItsEntryIsDeletedWhileTheStoreIsAvailable() {
        registry.unregister("t");

        assertThat(registry.of("s")).isEmpty();
    }

    @Test
    void keepsATargetWhoseEntryLapsedInAStoreOutageUntilTheGracePeriodEnds() {
        outages.begin("timed out");
        timers.advance(5_000);
        outages.onAnswered();
        registry.retain(Set.of());

        timers.advance(StoreOutages.LAPSE_GRACE_MS - 1);
        assertThat(registry.of("s")).hasSize(1);
        timers.advance(1);
        assertThat(registry.of("s")).isEmpty();
    }

    // Guards against requests to a target that has left, because a cut watch was taken for an outage of the store.
    @Test
    void removesATargetAtOnceAfterWatchesWereCut() {
        for (int i = 0; i < 18; i++) {
            outages.onFailed(StoreOutages.Failure.CUT, "broken");
            timers.advance(150);
            if (i == 17) {
                registry.unregister("t");
            }
            outages.onAnswered();
            timers.advance(300);
        }

        assertThat(registry.of("s")).isEmpty();
    }

    // Guards against requests to a target that has left, which is taken to have lapsed in one outage after the other.
    @Test
    void removesATargetWithinItsDrainPeriodWhileTheStoreComesAndGoes() {
        registry.setDrainPeriod(2_000);
        outages.begin("timed out");
        registry.unregister("t");
        for (int i = 0; i < 4; i++) {
            outages.onAnswered();
            registry.retain(Set.of());
            timers.advance(400);
            outages.begin("timed out");
        }
        assertThat(registry.of("s")).hasSize(1);
        timers.advance(399);

        assertThat(registry.of("s")).isEmpty();
    }

    // Guards against a short outage that is taken for cut connections, so that all targets are removed.
    @Test
    void keepsATargetWhoseEntryLapsedInAnOutageThatBeganWithACutWatch() {
        registry.setDrainPeriod(2_000);
        outages.onFailed(StoreOutages.Failure.CUT, "broken");
        timers.advance(150);
        outages.onFailed(StoreOutages.Failure.CUT, "broken");
        timers.advance(850);
        registry.unregister("t");
        outages.onAnswered();
        timers.advance(1_500);
        assertThat(registry.of("s")).hasSize(1);
        registry.register(entry(1, false));
        timers.advance(5_000);

        assertThat(registry.of("s")).hasSize(1);
    }

    @Test
    void keepsATargetThatRenewsItsLapsedEntry() {
        outages.begin("timed out");
        outages.onAnswered();
        registry.unregister("t");
        timers.advance(1_000);
        registry.register(entry(1, false));
        timers.advance(5_000);

        assertThat(registry.of("s")).hasSize(1);
    }

    @Test
    void keepsALeavingTargetUnusableWhenALaterEntryOfTheSameInstanceSaysReady() {
        registry.register(entry(1, true));
        registry.register(entry(1, false));

        assertThat(registry.of("s").get(0).isUsable()).isFalse();
    }

    @Test
    void resetsHealthWhenATargetRestartsUnderTheSameId() {
        TargetHealth before = registry.of("s").get(0);
        before.markDown(60_000);
        before.beginRequest();

        registry.register(entry(2, false));

        TargetHealth after = registry.of("s").get(0);
        assertThat(after.isUsable()).isTrue();
        assertThat(after.inFlight()).isEqualTo(0);
    }

    private static RegisteredTarget entry(long startedAtMillis, boolean leaving) {
        return new RegisteredTarget("t", startedAtMillis, "s", "10.0.0.1:80", "east", 6, leaving, "", null);
    }
}
