package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.registry.RegisteredTarget;

/** Tests that a target that says in an answer that it is about to stop gets no requests from then on. */
class LeavingTargetTest {
    private final ForwardingTestBed bed = new ForwardingTestBed();

    private Set<String> targetsOf(String path, int requests) {
        Set<String> targets = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            int before = bed.link.received.size();
            bed.send(path);
            if (bed.link.received.size() > before) {
                ReceivedRequest sent = bed.link.last();
                targets.add(sent.dispatch.target().instanceId());
                if (sent.dispatch.path() != null) {
                    sent.dispatch
                            .path()
                            .hops()
                            .forEach(h -> targets.add(h.target().entry().instanceId()));
                }
                sent.fail(LinkFailure.MALFORMED);
            }
            bed.timers.advance(100);
            bed.renewProof();
        }
        return targets;
    }

    private RegisteredTarget answerAsLeaving(String path) {
        bed.send(path);
        ReceivedRequest sent = bed.link.last();
        sent.leaving = true;
        sent.respond(200);
        return sent.dispatch.target();
    }

    // Guards against requests to a target that announces its end in its answers only.
    @Test
    void sendsNothingToATargetThatHasAnnouncedItsEnd() {
        RegisteredTarget leaving = answerAsLeaving("/safe/x");

        assertThat(targetsOf("/safe/x", 60)).doesNotContain(leaving.instanceId());
    }

    @Test
    void usesNoPathThroughALeavingEngine() {
        RegisteredTarget leaving = answerAsLeaving("/stream/x");

        assertThat(targetsOf("/stream/x", 20)).doesNotContain(leaving.instanceId());
    }

    @Test
    void letsAStreamThatRunsGoOn() {
        RecordedReply reply = bed.send("/stream/x");
        ReceivedRequest sent = bed.link.last();
        sent.leaving = true;
        sent.startStream();
        sent.sendEvents(1, 3);
        sent.endStream();

        assertThat(sent.cancelled).isFalse();
        assertThat(reply.complete).isTrue();
    }

    @Test
    void remembersALeavingTargetWhoseEntryIsRemovedAndWrittenAgain() {
        RegisteredTarget leaving = answerAsLeaving("/safe/x");
        bed.registry.unregister(leaving.id());
        bed.registry.register(leaving);

        assertThat(targetsOf("/safe/x", 60)).doesNotContain(leaving.instanceId());
    }

    @Test
    void usesTheNextInstanceOfALeavingTarget() {
        RegisteredTarget leaving = answerAsLeaving("/safe/x");
        RegisteredTarget next = new RegisteredTarget(
                leaving.id(), 2, leaving.service(), leaving.address(), leaving.dataCentre(), 6, false, "", null);
        bed.registry.register(next);

        assertThat(targetsOf("/safe/x", 60)).contains(next.instanceId());
    }

    @Test
    void doesNotTakeTheAnswerOfAnotherTargetForTheExpectedOne() {
        bed.send("/safe/x");
        ReceivedRequest sent = bed.link.last();
        sent.leaving = true;
        sent.respondNotRun(AbstractForwardedCall.MISDIRECTED_REQUEST);

        assertThat(bed.registry.find(sent.dispatch.target().id()).orElseThrow().isAvailable())
                .isTrue();
    }
}
