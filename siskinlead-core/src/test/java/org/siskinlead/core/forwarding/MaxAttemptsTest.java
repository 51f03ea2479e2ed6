package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.routing.LayerRange;

/** Tests that a request is sent to no more targets than its route allows, unless one of them is known to have ended. */
class MaxAttemptsTest {
    private static final int MAX_ATTEMPTS = 2;

    private final ForwardingTestBed bed = new ForwardingTestBed();

    @BeforeEach
    void addAThirdDataCentre() {
        bed.registry.register(Fleets.engine("north-low", "north", "h100", new LayerRange(0, 40)));
        bed.registry.register(Fleets.engine("north-high", "north", "h100", new LayerRange(40, 80)));
    }

    // Guards against requests that run on more targets than allowed: a target may run on without its entry.
    @Test
    void countsATargetWhoseEntryWasRemoved() {
        bed.send("/stream/x");
        ReceivedRequest first = bed.link.last();
        bed.registry.unregister(first.dispatch.target().id());
        first.fail(LinkFailure.BROKEN);
        bed.link.last().fail(LinkFailure.BROKEN);

        assertThat(targetsReached()).hasSize(MAX_ATTEMPTS);
    }

    // Guards against requests that run on more targets than allowed: a target that refuses a connection may run on.
    @Test
    void countsATargetThatRefusedAProbe() {
        bed.send("/stream/x");
        ReceivedRequest first = bed.link.last();
        bed.link.healthByTarget.put(first.dispatch.target().id(), TargetLink.Health.CRASHED);
        first.fail(LinkFailure.BROKEN);
        bed.timers.advance(20);
        bed.link.last().fail(LinkFailure.BROKEN);

        assertThat(targetsReached()).hasSize(MAX_ATTEMPTS);
    }

    // Guards against requests that run on more targets than allowed: an earlier send to a target may have run there.
    @Test
    void countsATargetThatRefusedALaterConnection() {
        for (String target : Set.of("west-low", "north-low")) {
            bed.registry.find(target).orElseThrow().avoid(1);
        }
        bed.send("/stream/x");
        bed.link.last().respond(500);
        assertThat(targetsReached()).containsExactly("east-low@1");
        bed.link.last().fail(LinkFailure.REFUSED);
        bed.timers.advance(10);
        for (int i = 0; i < 3; i++) {
            bed.link.last().fail(LinkFailure.BROKEN);
            bed.timers.advance(10);
        }

        assertThat(targetsReached()).hasSize(MAX_ATTEMPTS);
    }

    @Test
    void doesNotCountATargetThatHasStartedAgain() {
        bed.send("/stream/x");
        ReceivedRequest first = bed.link.last();
        first.fail(LinkFailure.BROKEN);
        bed.registry.register(startedAgain(first.dispatch.target()));
        bed.link.last().fail(LinkFailure.BROKEN);

        assertThat(targetsReached()).hasSize(MAX_ATTEMPTS + 1);
    }

    // Guards against streams that are cut because two targets of theirs have left, as announced, within seconds.
    @Test
    void doesNotCountATargetThatSaidItLeavesAndRefusesAProbe() {
        bed.send("/stream/x");
        ReceivedRequest first = bed.link.last();
        bed.registry.onLeaving(bed.registry.find(first.dispatch.target().id()).orElseThrow());
        bed.link.healthByTarget.put(first.dispatch.target().id(), TargetLink.Health.CRASHED);
        first.fail(LinkFailure.BROKEN);
        bed.timers.advance(20);
        bed.link.last().fail(LinkFailure.BROKEN);

        assertThat(targetsReached()).hasSize(MAX_ATTEMPTS + 1);
    }

    @Test
    void doesNotCountATargetAtWhoseAddressAnotherInstanceAnswers() {
        bed.send("/stream/x");
        ReceivedRequest first = bed.link.last();
        bed.link.healthByTarget.put(first.dispatch.target().id(), TargetLink.Health.REPLACED);
        first.fail(LinkFailure.BROKEN);
        bed.timers.advance(20);
        bed.link.last().fail(LinkFailure.BROKEN);

        assertThat(targetsReached()).hasSize(MAX_ATTEMPTS + 1);
    }

    private static RegisteredTarget startedAgain(RegisteredTarget target) {
        return new RegisteredTarget(
                target.id(),
                target.startedAtMillis() + 1,
                target.service(),
                target.address(),
                target.dataCentre(),
                target.slots(),
                target.leaving(),
                target.accelerator(),
                target.layers());
    }

    private Set<String> targetsReached() {
        return bed.link.received.stream()
                .map(r -> r.dispatch.target().instanceId())
                .collect(Collectors.toSet());
    }
}
