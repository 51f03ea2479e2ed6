package org.siskinlead.core.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests when a plan is computed, which of its paths are drawn, and when the engines have no room. */
class PathSharesTest {
    private static final double TOKENS = 900;
    private static final int DAEMONS = 71;

    private final ManualTimers timers = new ManualTimers();
    private final TargetRegistry registry = TargetRegistry.of(
            timers, Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {}), StoreOutages.of(timers));
    private final Random random = new Random(1);
    private int plans;
    private PathShares shares = PathShares.of(timers, () -> DAEMONS, random, () -> plans++);

    @BeforeEach
    void registerEngines() {
        timers.advance(10_000);
        for (String dataCentre : new String[] {"a", "b", "c"}) {
            registry.register(Fleets.engine(dataCentre + "1", dataCentre, "h100", new LayerRange(0, 40)));
            registry.register(Fleets.engine(dataCentre + "2", dataCentre, "h100", new LayerRange(40, 80)));
        }
        shares = PathShares.of(timers, () -> DAEMONS, random, () -> plans++);
    }

    /** Guards against processor time spent on plans that say the same as the one before. */
    @Test
    void keepsThePlanWhileLoadAndTargetsStayTheSame() {
        for (int i = 0; i < 100; i++) {
            draw();
            timers.advance(250);
        }

        assertThat(plans).isEqualTo(1);
    }

    /** Guards against sends to an engine that is gone until the next check of the plan. */
    @Test
    void drawsNoPathThroughAnEngineThatIsDownOrHoldsOtherLayers() {
        draw();
        timers.advance(100);
        registry.find("a2").orElseThrow().markDown(5_000);
        registry.register(Fleets.engine("b1", "b", "h100", new LayerRange(0, 30)));

        for (int i = 0; i < 100; i++) {
            HopPath path = draw();
            assertThat(path.containsInstance("a2@1")).isFalse();
            assertThat(path.hops().stream()
                            .anyMatch(h -> h.target().entry().id().equals("b1")
                                    && h.layers().to() > 30))
                    .isFalse();
        }
    }

    @Test
    void drawsAgainForARequestThatMustNotUseTheFirstPath() {
        for (int i = 0; i < 100; i++) {
            shares.update(Fleets.engineSpec(), registry.of(Fleets.SERVICE), TOKENS);
            Optional<HopPath> path = shares.draw(TOKENS, p -> !p.containsInstance("a1@1"));

            assertThat(path.isEmpty() || !path.get().containsInstance("a1@1")).isTrue();
        }
    }

    /** Guards against all daemons leaving a target for another one by the same late report. */
    @Test
    void givesATargetThatReportsNoLoadNoMoreThanItsShare() {
        int falseSends = 0;
        for (int i = 0; i < 900; i++) {
            timers.advance(10);
            registry.find("a1").orElseThrow().onLoad(0);
            registry.find("b1").orElseThrow().onLoad(30);
            registry.find("c1").orElseThrow().onLoad(30);
            falseSends += draw().first().target().entry().id().equals("a1") ? 1 : 0;
        }

        assertThat(falseSends).isAtMost(400);
    }

    @Test
    void prefersOtherFirstTargetsToOneThatReportsMuchMoreThanPlanned() {
        int sends = 0;
        for (int i = 0; i < 900; i++) {
            registry.find("a1").orElseThrow().onLoad(134);
            sends += draw().first().target().entry().id().equals("a1") ? 1 : 0;
        }

        assertThat(sends).isAtMost(200);
    }

    /** Guards against sends that targets refuse: what fits on no engine waits here. */
    @Test
    void hasNoRoomWhileOwnRequestsShowThatTheEnginesAreFull() {
        int sent = 0;
        while (sent < 1_000) {
            timers.advance(10);
            shares.update(Fleets.engineSpec(), registry.of(Fleets.SERVICE), TOKENS);
            if (!shares.hasRoom()) {
                break;
            }
            HopPath path = shares.draw(TOKENS, p -> true).orElseThrow();
            path.reserve(TOKENS);
            path.first().target().beginRequest();
            sent++;
        }

        double fleet = 3 * Fleets.engineSpec().tokenLayerCapacity(Fleets.kind("h100"), 40) / 40 / TOKENS;
        assertThat(sent * (double) DAEMONS).isAtLeast(fleet);
        assertThat(sent).isLessThan(50);
    }

    private HopPath draw() {
        shares.update(Fleets.engineSpec(), registry.of(Fleets.SERVICE), TOKENS);
        return shares.draw(TOKENS, p -> true).orElseThrow();
    }
}
