package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.serving.RefusalCode;

/** Tests targets that fall silent when they crash, so that only their next lifetime tells of it. */
class SilentCrashTest {
    private static final long MAX_WAIT_MS = 1_000;

    private final ForwardingTestBed bed = new ForwardingTestBed();

    // Guards against a request that crashes one target after the other, because these fall silent and not one
    // connection breaks.
    @Test
    void blocksARequestWhoseTargetsStartAgainWithoutHavingAnsweredIt() {
        RecordedReply first = bed.send("/safe/deadly");
        bed.timers.advance(MAX_WAIT_MS);
        assertThat(first.refusal).isNotNull();
        assertThat(bed.link.received).hasSize(2);
        bed.link.received.forEach(sent -> startAgain(sent.dispatch.target()));

        RecordedReply second = bed.send("/safe/deadly");

        assertThat(second.refusal.code()).isEqualTo(RefusalCode.TARGET_CRASHES);
        assertThat(bed.link.received).hasSize(2);
    }

    // Guards against the same for a request that is sent once, so that its target is silent until the deadline.
    @Test
    void blocksARequestThatMayRunOnceAndWhoseTargetsStartAgain() {
        for (int i = 0; i < 2; i++) {
            bed.send("/unsafe/deadly");
            bed.timers.advance(MAX_WAIT_MS);
            startAgain(bed.link.last().dispatch.target());
        }

        assertThat(bed.send("/unsafe/deadly").refusal.code()).isEqualTo(RefusalCode.TARGET_CRASHES);
    }

    // Guards against a request that is never blocked, because its targets stay away until their entries are removed.
    @Test
    void blocksARequestWhoseTargetsAreRemovedWithoutHavingAnsweredIt() {
        bed.send("/safe/deadly");
        bed.timers.advance(MAX_WAIT_MS);
        bed.link.received.forEach(
                sent -> bed.registry.unregister(sent.dispatch.target().id()));

        assertThat(bed.send("/safe/deadly").refusal.code()).isEqualTo(RefusalCode.TARGET_CRASHES);
    }

    // Guards against blaming requests for the silence of a target that goes on.
    @Test
    void doesNotAccuseRequestsOnATargetThatIsTheSameAfterItsEntryWasRemoved() {
        bed.send("/safe/sound");
        bed.timers.advance(MAX_WAIT_MS);
        for (ReceivedRequest sent : bed.link.received) {
            bed.registry.unregister(sent.dispatch.target().id());
            bed.registry.register(sent.dispatch.target());
        }

        assertThat(bed.send("/safe/sound").isOpen()).isTrue();
    }

    // Guards against blaming requests for a crash that came after their target had answered others.
    @Test
    void doesNotAccuseRequestsOnATargetThatAnswersALaterOne() {
        bed.send("/unsafe/slow");
        bed.timers.advance(MAX_WAIT_MS);
        RegisteredTarget target = bed.link.last().dispatch.target();
        removeAllBut(target);
        bed.send("/unsafe/other");
        bed.link.last().respond(200);
        startAgain(target);
        bed.send("/unsafe/slow");
        bed.timers.advance(MAX_WAIT_MS);
        startAgain(bed.link.last().dispatch.target());

        assertThat(bed.send("/unsafe/slow").isOpen()).isTrue();
    }

    // Guards against blaming requests for the end of targets that have left as announced.
    @Test
    void doesNotAccuseRequestsOnTargetsThatLeave() {
        bed.send("/safe/sound");
        bed.timers.advance(MAX_WAIT_MS);
        for (ReceivedRequest sent : bed.link.received) {
            bed.registry.find(sent.dispatch.target().id()).ifPresent(target -> bed.registry.onLeaving(target));
            startAgain(sent.dispatch.target());
        }

        assertThat(bed.send("/safe/sound").isOpen()).isTrue();
    }

    // Guards against blocking the most used request, which runs on every target that crashes for a reason of its own.
    @Test
    void doesNotBlockARequestThatIsAnsweredBetweenTheCrashesOfItsTargets() {
        for (int i = 0; i < 4; i++) {
            bed.send("/unsafe/popular");
            bed.timers.advance(MAX_WAIT_MS);
            startAgain(bed.link.last().dispatch.target());
            RecordedReply sound = bed.send("/unsafe/popular");
            assertThat(sound.isOpen()).isTrue();
            bed.link.last().respond(200);
            bed.renewProof();
        }
    }

    private void removeAllBut(RegisteredTarget target) {
        for (String id : Set.of("p0", "p1", "p2")) {
            if (!id.equals(target.id())) {
                bed.registry.unregister(id);
            }
        }
    }

    private void startAgain(RegisteredTarget target) {
        bed.registry.register(new RegisteredTarget(
                target.id(),
                target.startedAtMillis() + 1,
                target.service(),
                target.address(),
                target.dataCentre(),
                target.slots(),
                false,
                target.accelerator(),
                target.layers()));
        bed.renewProof();
    }
}
