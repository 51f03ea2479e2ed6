package org.siskinlead.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests that plain targets are drawn by free slots, latency and failures. */
class FreeSlotsTest {
    private final ManualTimers timers = new ManualTimers();
    private final TargetRegistry registry = TargetRegistry.of(
            timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}), StoreOutages.of(timers));
    private final Random random = new Random(1);

    @BeforeEach
    void registerTargets() {
        timers.advance(10_000);
        for (String id : new String[] {"p0", "p1", "p2"}) {
            registry.register(ForwardingTestBed.plain(id));
        }
    }

    @Test
    void spreadsEvenlyOverEqualTargets() {
        drawMany().values().forEach(count -> assertThat(count).isIn(com.google.common.collect.Range.closed(250, 420)));
    }

    /** Guards against a herd: the target with the most free slots must not get the requests of all daemons. */
    @Test
    void leavesSomeRequestsToTheTargetsWithFewerFreeSlots() {
        registry.find("p0").orElseThrow().onLoad(4);
        registry.find("p1").orElseThrow().onLoad(3);

        Map<String, Integer> drawn = drawMany();
        assertThat(drawn.get("p0")).isGreaterThan(30);
        assertThat(drawn.get("p0")).isLessThan(drawn.get("p2"));
        assertThat(drawn.get("p2")).isLessThan(850);
    }

    @Test
    void givesFewRequestsToTargetsThatAreFullSlowOrFail() {
        registry.find("p0").orElseThrow().onLoad(6);
        for (int i = 0; i < 10; i++) {
            registry.find("p1").orElseThrow().onFailure();
        }

        Map<String, Integer> drawn = drawMany();
        assertThat(drawn.getOrDefault("p0", 0)).isLessThan(60);
        assertThat(drawn.getOrDefault("p1", 0)).isLessThan(60);
    }

    @Test
    void stillDrawsATargetWhenAllAreFull() {
        registry.of("plain").forEach(t -> t.onLoad(8));

        assertThat(FreeSlots.draw(registry.of("plain"), random)).isPresent();
    }

    private Map<String, Integer> drawMany() {
        Map<String, Integer> drawn = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            String id = FreeSlots.draw(registry.of("plain"), random)
                    .orElseThrow()
                    .entry()
                    .id();
            drawn.merge(id, 1, Integer::sum);
        }
        return drawn;
    }
}
