package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests which streams a daemon accepts while it drains: those that end in time at the pace that streams have. */
class DrainingForwarderTest {
    /** Events of an answer with the number of tokens that requests of the test bed ask for. */
    private static final int EVENTS = 80;
    /** Gap for which streams of the test bed are on time. */
    private static final long ON_TIME_GAP_MS = 200;

    private final ForwardingTestBed bed = new ForwardingTestBed();

    @BeforeEach
    void startStreams() {
        bed.send("/stream/slow");
        bed.link.last().startStream();
    }

    // Guards against streams that are accepted during a planned stop and cut at its end, as targets write slowly.
    @Test
    void refusesAStreamThatWouldOutlastTheDrainAtThePaceOfTheOthers() {
        writeEvents(bed.link.last(), 20, 75);
        bed.forwarder.drainUntil(bed.timers.nowMillis() + EVENTS * 75);
        RecordedReply reply = bed.send("/stream/x");

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(reply.refusal.retryAfterMillis()).isGreaterThan(0);
    }

    // Guards against streams that are accepted during a planned stop and cut, as nothing was known of their pace.
    @Test
    void takesStreamsForAsSlowAsTheyMayBeWhileNoPaceIsKnown() {
        bed.forwarder.drainUntil(bed.timers.nowMillis() + EVENTS * ON_TIME_GAP_MS);
        assertThat(bed.send("/stream/x").refusal).isNotNull();
    }

    @Test
    void acceptsAStreamThatEndsInTime() {
        writeEvents(bed.link.last(), 60, 20);
        bed.forwarder.drainUntil(bed.timers.nowMillis() + 7_600);
        RecordedReply reply = bed.send("/stream/x");

        assertThat(reply.refusal).isNull();
        assertThat(bed.link.received).hasSize(2);
    }

    // Guards against a pace that is judged by one stream of many.
    @Test
    void judgesByTheSlowestStream() {
        ReceivedRequest slow = bed.link.last();
        writeEvents(slow, 20, 90);
        bed.send("/stream/fast");
        bed.link.last().startStream();
        writeEvents(bed.link.last(), 60, 20);
        bed.forwarder.drainUntil(bed.timers.nowMillis() + 7_600);

        assertThat(bed.send("/stream/x").refusal).isNotNull();
    }

    // Guards against callers that are refused a stream that would end in time, or given one that would not, as they
    // come late.
    @Test
    void judgesAStreamByTheTimeLeftAtAnyMomentOfTheDrain() {
        for (long sinceBegin : new long[] {100, 1_000, 2_400, 2_600, 3_600}) {
            assertThat(isAccepted(sinceBegin, 5_600)).isTrue();
            assertThat(isAccepted(sinceBegin, 4_800)).isFalse();
        }
    }

    /** Tells whether a stream is accepted beside one with a gap of 20 ms, some time after a drain began. */
    private static boolean isAccepted(long sinceBeginMillis, long leftMillis) {
        ForwardingTestBed drained = new ForwardingTestBed();
        drained.send("/stream/known");
        drained.link.last().startStream();
        long events = 60 + sinceBeginMillis / 20;
        for (int id = 1; id <= events; id++) {
            if (id == 60) {
                drained.forwarder.drainUntil(drained.timers.nowMillis() + sinceBeginMillis + 20 + leftMillis);
            }
            drained.link.last().sendEvents(id, id);
            drained.timers.advance(20);
        }
        drained.renewProof();
        return drained.send("/stream/x").refusal == null;
    }

    // Guards against streams that use up their time before they begin, and are cut by the planned stop.
    @Test
    void judgesAStreamAgainWhenItIsSentAgain() {
        ReceivedRequest slow = bed.link.last();
        writeEvents(slow, 60, 20);
        bed.forwarder.drainUntil(bed.timers.nowMillis() + 6_000);
        RecordedReply reply = bed.send("/stream/x");
        ReceivedRequest sent = bed.link.last();
        assertThat(reply.isOpen()).isTrue();
        bed.timers.advance(350);
        slow.sendEvents(61, 61);
        bed.timers.advance(350);
        sent.respondNotRun(503);

        assertThat(reply.refusal).isNotNull();
        assertThat(reply.refusal.code()).isEqualTo(RefusalCode.DRAINING);
        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(bed.link.received).hasSize(2);
    }

    // Guards against refusing the rest of a stream because its head names the length of the whole.
    @Test
    void judgesAResumedStreamByWhatIsLeftOfIt() {
        writeEvents(bed.link.last(), 40, 90);
        bed.forwarder.drainUntil(bed.timers.nowMillis() + 7_600);

        assertThat(send("/stream/whole", 160, 0).refusal).isNotNull();
        assertThat(send("/stream/rest", 160, 140).refusal).isNull();
    }

    // Guards against streams that are accepted late by the objective although streams are known to be slower.
    @Test
    void expectsLateStreamsToBeAsSlowAsTheOthersAre() {
        ReceivedRequest slow = bed.link.last();
        writeEvents(slow, 20, 600);
        bed.forwarder.drainUntil(bed.timers.nowMillis() + 7_600);
        for (int id = 21; id <= 26; id++) {
            bed.timers.advance(600);
            slow.sendEvents(id, id);
        }
        bed.renewProof();

        assertThat(send("/stream/late", 14, 0).refusal).isNotNull();
    }

    // Guards against streams that waited for a target and are judged as if they were sent early.
    @Test
    void judgesByTheTimeOfTheSend() {
        writeEvents(bed.link.last(), 60, 10);
        bed.forwarder.drainUntil(bed.timers.nowMillis() + 2_000 + 500 + Math.round(40 * 1.5 * 10) + 200);
        RecordedReply reply = send("/stream/early", 80, 0);
        ReceivedRequest sent = bed.link.last();
        bed.timers.advance(300);
        bed.link.received.get(0).sendEvents(61, 61);
        sent.respondNotRun(503);

        assertThat(reply.refusal).isNotNull();
        assertThat(reply.refusal.code()).isEqualTo(RefusalCode.DRAINING);
    }

    private RecordedReply send(String path, int maxAnswerTokens, long lastEventId) {
        RecordedReply reply = new RecordedReply();
        IncomingRequest request = new IncomingRequest(
                path,
                "POST",
                path,
                "host:80",
                List.of(),
                new byte[] {1},
                ForwardingTestBed.KEY,
                20_000,
                700,
                maxAnswerTokens,
                maxAnswerTokens,
                lastEventId,
                List.of());
        bed.forwarder.onRequest(request, reply);
        return reply;
    }

    private void writeEvents(ReceivedRequest sent, int events, long gapMillis) {
        for (int id = 1; id <= events; id++) {
            sent.sendEvents(id, id);
            bed.timers.advance(gapMillis);
        }
    }
}
