package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;

/** Tests that a stream which has begun goes on after its path was cut, also when targets refuse to resume it at first. */
class ResumedStreamTest {
    /** Callers leave after eight times the gap objective, four times the latency objective, or this time. */
    private static final long CALLER_PATIENCE_MS = 2_000;

    private final ForwardingTestBed bed = new ForwardingTestBed();

    // Guards against streams that are cut because a target refused them, without running them, before they began.
    @Test
    void doesNotCountATargetThatRefusedTheStream() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().respondNotRun(503);
        begin(bed.link.last(), 5);
        bed.timers.advance(400);
        bed.link.last().fail(LinkFailure.BROKEN);

        finish(6, 9);
        assertThat(reply.complete).isTrue();
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 9));
    }

    // Guards against streams that are cut because the target at which they are resumed has no room at that moment.
    @Test
    void waitsForRoomWhenTheTargetThatShouldResumeItRefuses() {
        RecordedReply reply = bed.send("/stream/x");
        begin(bed.link.last(), 5);
        bed.link.last().fail(LinkFailure.BROKEN);
        for (int refusals = 0; refusals < 3; refusals++) {
            bed.link.last().respondNotRun(503);
            bed.timers.advance(400);
        }

        assertThat(reply.isOpen()).isTrue();
        finish(6, 9);
        assertThat(reply.complete).isTrue();
    }

    @Test
    void endsAStreamThatNoTargetResumesOnceItsCallerHasLostPatience() {
        RecordedReply reply = bed.send("/stream/x");
        begin(bed.link.last(), 5);
        for (String target : new String[] {"east-low", "west-low"}) {
            bed.registry.find(target).orElseThrow().avoid(CALLER_PATIENCE_MS);
        }
        bed.link.last().fail(LinkFailure.BROKEN);
        bed.timers.advance(CALLER_PATIENCE_MS - 100);
        assertThat(reply.isOpen()).isTrue();

        for (String target : new String[] {"east-low", "west-low"}) {
            bed.registry.find(target).orElseThrow().avoid(CALLER_PATIENCE_MS);
        }
        bed.timers.advance(CALLER_PATIENCE_MS);
        assertThat(reply.aborted).isTrue();
    }

    private static void begin(ReceivedRequest sent, long events) {
        begin(sent, 0, events);
    }

    private static void begin(ReceivedRequest sent, long after, long events) {
        sent.startStream();
        sent.sendEvents(after + 1, events);
    }

    private void finish(long from, long to) {
        bed.link.last().startStream();
        bed.link.last().sendEvents(from, to);
        bed.link.last().endStream();
    }
}
