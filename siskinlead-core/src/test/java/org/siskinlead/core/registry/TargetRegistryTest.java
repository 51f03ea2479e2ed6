package org.siskinlead.core.registry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests entries that lapse or are removed, targets that are leaving, and restarts under the same identity. */
class TargetRegistryTest {
    private final ManualTimers timers = new ManualTimers();
    private final TargetRegistry registry =
            TargetRegistry.of(timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}));

    @BeforeEach
    void registerTarget() {
        registry.onStoreRegained();
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
        registry.onStoreLost();
        timers.advance(5_000);
        registry.onStoreRegained();
        registry.retain(Set.of());

        timers.advance(TargetRegistry.LAPSE_GRACE_MS - 1);
        assertThat(registry.of("s")).hasSize(1);
        timers.advance(1);
        assertThat(registry.of("s")).isEmpty();
    }

    @Test
    void keepsATargetThatRenewsItsLapsedEntry() {
        registry.onStoreLost();
        registry.onStoreRegained();
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
