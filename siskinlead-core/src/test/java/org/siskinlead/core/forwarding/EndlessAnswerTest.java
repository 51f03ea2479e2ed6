package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests that answers without end use a bounded amount of memory, and that requests beside them are answered. */
class EndlessAnswerTest {
    private static final int ENDLESS_ANSWERS = 100;
    private static final int PART_BYTES = 65_536;
    private static final int PARTS = 400;

    private final ForwardingTestBed bed = new ForwardingTestBed();
    private final String part = "x".repeat(PART_BYTES);

    @Test
    void boundsTheMemoryOfAHundredAnswersTogetherAndAnswersTheirNeighbour() {
        List<RecordedReply> endless = new ArrayList<>();
        List<ReceivedRequest> targets = new ArrayList<>();
        for (int i = 0; i < ENDLESS_ANSWERS; i++) {
            endless.add(bed.send("/unsafe/x"));
            targets.add(bed.link.last());
            bed.link.last().startStream();
        }
        RecordedReply neighbour = bed.send("/unsafe/x");
        ReceivedRequest sound = bed.link.last();
        sound.startStream();
        sound.sendRaw("begun, ");

        long openBytes = 0;
        for (int round = 0; round < PARTS / ENDLESS_ANSWERS; round++) {
            for (ReceivedRequest target : targets) {
                if (!target.cancelled) {
                    target.sendRaw(part);
                }
            }
            openBytes = targets.stream().filter(t -> !t.cancelled).count() * (round + 1) * PART_BYTES;
            assertThat(openBytes).isAtMost(ResponseMemory.MAX_BYTES);
        }
        sound.sendRaw("ended");
        sound.endStream();

        assertThat(neighbour.answer.status()).isEqualTo(200);
        assertThat(targets.stream().filter(t -> t.cancelled).count()).isGreaterThan(0);
        for (int i = 0; i < ENDLESS_ANSWERS; i++) {
            if (targets.get(i).cancelled) {
                assertThat(endless.get(i).refusal.outcome()).isEqualTo(RequestOutcome.UNKNOWN);
            }
        }
    }

    @Test
    void dropsOneAnswerThatIsLargerThanTheMemoryForAll() {
        RecordedReply reply = bed.send("/safe/x");
        ReceivedRequest first = bed.link.last();
        first.startStream();
        while (!first.cancelled) {
            first.sendRaw(part);
        }

        bed.link.last().respond(200);
        assertThat(bed.link.received).hasSize(2);
        assertThat(reply.answer.status()).isEqualTo(200);
    }

    @Test
    void dropsAFailureOfAStreamWhoseBodyNeverEnds() {
        RecordedReply reply = bed.send("/stream/x");
        for (int send = 0; send < 2; send++) {
            ReceivedRequest target = bed.link.last();
            target.listener.onHead(
                    new TargetResponse(400, false, true, true, "", -1, false, TargetResponse.UNLIMITED, 0, List.of()));
            for (int i = 0; i < PARTS && !target.cancelled; i++) {
                target.sendRaw(part);
            }
            assertThat(target.cancelled).isTrue();
        }

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.FAILED);
    }
}
