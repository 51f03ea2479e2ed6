package org.siskinlead.core.chains;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/**
 * Tests the load scale after restarts: the first daemon to return serves almost every caller, and would overestimate
 * the total load if it assumed the same load from the others.
 */
class LoadScaleTest {
    private static final int DAEMONS = 4;

    private final ManualTimers timers = new ManualTimers();
    private final TargetRegistry registry = TargetRegistry.of(
            timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}), StoreOutages.of(timers));

    @Test
    void scalesByReportedLoadWhenOneDaemonServesMostCallers() {
        TargetHealth first = engine("a1");
        for (int i = 0; i < 100; i++) {
            first.beginRequest();
        }
        first.onLoad(110);

        assertThat(scale()).isWithin(0.01).of(1.1);
    }

    @Test
    void assumesEqualLoadOnEveryDaemonWithoutAReport() {
        engine("a1").beginRequest();

        assertThat(scale()).isEqualTo(DAEMONS);
    }

    @Test
    void ignoresReportsThatAreOldOrCoverFewRequests() {
        TargetHealth first = engine("a1");
        first.beginRequest();
        first.onLoad(90);
        assertThat(scale()).isEqualTo(DAEMONS);

        for (int i = 0; i < 20; i++) {
            first.beginRequest();
        }
        timers.advance(5_000);
        assertThat(scale()).isEqualTo(DAEMONS);
    }

    @Test
    void isNeverBelowOne() {
        TargetHealth first = engine("a1");
        for (int i = 0; i < 20; i++) {
            first.beginRequest();
        }
        first.onLoad(3);

        assertThat(scale()).isEqualTo(1);
    }

    private double scale() {
        return LoadScale.of(registry.of(Fleets.SERVICE), DAEMONS).of("a");
    }

    private TargetHealth engine(String id) {
        timers.advance(10_000);
        registry.register(Fleets.engine(id, "a", "h100", new LayerRange(0, 30)));
        return registry.find(id).get();
    }
}
