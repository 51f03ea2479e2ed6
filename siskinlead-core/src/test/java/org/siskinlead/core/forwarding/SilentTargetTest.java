package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;

/** Tests streams whose target falls silent: it may have ended, or be sound and go on after a second. */
class SilentTargetTest {
    private static final long SILENCE_MS = 1_400;

    private final ForwardingTestBed bed = new ForwardingTestBed();
    private final RecordedReply reply = bed.send("/stream/x");
    private final ReceivedRequest first = bed.link.last();

    // Guards against streams that are cut when a sound target is silent for a second and no other one has room.
    @Test
    void keepsAStreamThatNoOtherTargetTakesUntilItsTargetGoesOn() {
        fallSilentAfterEvents(5);
        for (long waited = 0; waited < SILENCE_MS; waited += 50) {
            if (bed.link.last() != first) {
                bed.link.last().respondNotRun(503);
            }
            bed.timers.advance(50);
        }

        assertThat(first.cancelled).isFalse();
        first.sendEvents(6, 9);
        first.endStream();
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 9));
        assertThat(reply.complete).isTrue();
        assertThat(bed.forwarder.inFlight()).isEqualTo(0);
        assertThat(reservedMemory()).isWithin(1e-6).of(0);
    }

    // Guards against streams that are cut when their target is silent and the only other one breaks them off.
    @Test
    void keepsAStreamWhoseOtherTargetFails() {
        fallSilentAfterEvents(5);
        bed.link.last().fail(LinkFailure.BROKEN);
        bed.timers.advance(SILENCE_MS);

        first.sendEvents(6, 9);
        first.endStream();
        assertThat(reply.complete).isTrue();
    }

    // Guards against streams that wait before their first event and fail though their target is sound.
    @Test
    void keepsAStreamThatHasNotBegun() {
        bed.forwarder.onDownNotice(first.dispatch.target().instanceId(), List.of());
        bed.link.last().respondNotRun(503);
        bed.timers.advance(SILENCE_MS);

        first.startStream();
        first.sendEvents(1, 3);
        first.endStream();
        assertThat(reply.complete).isTrue();
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 3));
    }

    // Guards against a second send that is lost sight of when the silent target refuses after all.
    @Test
    void goesOnElsewhereWhenTheSilentTargetRefusesInTheEnd() {
        bed.forwarder.onDownNotice(first.dispatch.target().instanceId(), List.of());
        ReceivedRequest second = bed.link.last();
        first.respondNotRun(503);

        assertThat(bed.link.last()).isSameInstanceAs(second);
        second.startStream();
        second.sendEvents(1, 3);
        second.endStream();
        assertThat(reply.complete).isTrue();
        assertThat(bed.forwarder.inFlight()).isEqualTo(0);
        assertThat(reservedMemory()).isWithin(1e-6).of(0);
    }

    // Guards against streams that are cut when two sound targets are silent one after the other.
    @Test
    void keepsTheRunThatHasWrittenWhenTheNextTargetIsSilentToo() {
        fallSilentAfterEvents(5);
        ReceivedRequest second = bed.link.last();
        bed.forwarder.onDownNotice(second.dispatch.target().instanceId(), List.of());
        bed.timers.advance(SILENCE_MS);

        assertThat(first.cancelled).isFalse();
        assertThat(second.cancelled).isTrue();
        first.sendEvents(6, 9);
        first.endStream();
        assertThat(reply.complete).isTrue();
    }

    // Guards against events of two runs in one stream: one run writes, and the other one is cancelled.
    @Test
    void continuesWithTheOtherTargetIfThatWritesFirst() {
        fallSilentAfterEvents(5);
        ReceivedRequest second = bed.link.last();
        second.startStream();
        assertThat(first.cancelled).isFalse();
        second.sendEvents(6, 7);

        assertThat(first.cancelled).isTrue();
        first.sendEvents(6, 9);
        second.sendEvents(8, 9);
        second.endStream();
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 9));
        assertThat(reply.complete).isTrue();
        assertThat(reservedMemory()).isWithin(1e-6).of(0);
    }

    // Guards against events of two runs in one stream, and against work that goes on for nobody.
    @Test
    void continuesWithTheSilentTargetIfThatWritesFirst() {
        fallSilentAfterEvents(5);
        ReceivedRequest second = bed.link.last();
        second.startStream();
        first.sendEvents(6, 7);

        assertThat(second.cancelled).isTrue();
        second.sendEvents(6, 9);
        first.sendEvents(8, 9);
        first.endStream();
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 9));
        assertThat(reply.complete).isTrue();
    }

    // Guards against work that goes on after the caller has left.
    @Test
    void cancelsBothRunsWhenTheCallerLeaves() {
        RecordedReply other = new RecordedReply();
        Forwarder.RequestHandle handle = bed.forwarder.onRequest(bed.request("/stream/y"), other);
        ReceivedRequest sent = bed.link.last();
        sent.startStream();
        sent.sendEvents(1, 2);
        bed.forwarder.onDownNotice(sent.dispatch.target().instanceId(), List.of());
        ReceivedRequest beside = bed.link.last();
        handle.onCallerDisconnected();

        assertThat(beside).isNotSameInstanceAs(sent);
        assertThat(sent.cancelled).isTrue();
        assertThat(beside.cancelled).isTrue();
    }

    // Guards against an unknown outcome of a request that its target, silent for a second, would have answered.
    @Test
    void waitsForTheAnswerToARequestThatMustNotBeRepeated() {
        RecordedReply answered = bed.send("/unsafe/x");
        ReceivedRequest sent = bed.link.last();
        bed.forwarder.onDownNotice(sent.dispatch.target().instanceId(), List.of());
        bed.timers.advance(500);
        sent.respond(200);

        assertThat(sent.cancelled).isFalse();
        assertThat(answered.answer.status()).isEqualTo(200);
    }

    // Guards against a failure of a safe request whose target is silent for a second while no other can be used.
    @Test
    void waitsForTheAnswerToASafeRequestWhileNoOtherTargetCanBeUsed() {
        RecordedReply answered = bed.send("/safe/x");
        ReceivedRequest sent = bed.link.last();
        for (String target : List.of("p0", "p1", "p2")) {
            bed.registry.find(target).orElseThrow().avoid(SILENCE_MS);
        }
        bed.forwarder.onDownNotice(sent.dispatch.target().instanceId(), List.of());
        bed.timers.advance(500);
        sent.respond(200);

        assertThat(answered.answer.status()).isEqualTo(200);
    }

    @Test
    void asksAnotherTargetAtOnceForTheAnswerToASafeRequest() {
        RecordedReply answered = bed.send("/safe/x");
        ReceivedRequest sent = bed.link.last();
        bed.forwarder.onDownNotice(sent.dispatch.target().instanceId(), List.of());
        assertThat(bed.link.last()).isNotSameInstanceAs(sent);
        bed.link.last().respond(200);

        assertThat(answered.answer.status()).isEqualTo(200);
    }

    private void fallSilentAfterEvents(long events) {
        first.startStream();
        first.sendEvents(1, events);
        bed.forwarder.onDownNotice(first.dispatch.target().instanceId(), List.of());
        assertThat(bed.link.last()).isNotSameInstanceAs(first);
    }

    private double reservedMemory() {
        return bed.registry.of(first.dispatch.target().service()).stream()
                .mapToDouble(t -> t.reservedTokenLayers())
                .sum();
    }
}
