package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.fakes.FakeTargetLink;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests streams through engines that crash, stop responding, refuse requests or send invalid data. */
class StreamingCallTest {
    private final ForwardingTestBed bed = new ForwardingTestBed();

    @Test
    void runsEveryLayerOnceInOneDataCentre() {
        bed.send("/stream/x");

        List<Hop> hops = bed.link.last().dispatch.path().hops();
        assertThat(hops.get(0).layers().from()).isEqualTo(0);
        assertThat(hops.get(hops.size() - 1).layers().to()).isEqualTo(80);
        assertThat(hops.stream()
                        .map(h -> h.target().entry().dataCentre())
                        .distinct()
                        .count())
                .isEqualTo(1);
    }

    @Test
    void deliversEventsAsTheyComeAndEndsAsComplete() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().startStream();
        bed.link.last().sendEvents(1, 3);
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 3));
        bed.link.last().endStream();

        assertThat(reply.complete).isTrue();
    }

    @Test
    void resumesOnAnotherTargetAfterTheLastDeliveredEventWhenTheConnectionBreaks() {
        RecordedReply reply = bed.send("/stream/x");
        FakeTargetLink.ReceivedRequest first = bed.link.last();
        first.startStream();
        first.sendEvents(1, 5);
        first.sendRaw("id: 6\nda");
        first.fail(LinkFailure.BROKEN);

        FakeTargetLink.ReceivedRequest second = bed.link.last();
        assertThat(second.dispatch.lastEventId()).isEqualTo(5);
        assertThat(second.dispatch.target().id())
                .isNotEqualTo(first.dispatch.target().id());
        second.startStream();
        second.sendEvents(6, 9);
        second.endStream();
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 9));
        assertThat(reply.complete).isTrue();
    }

    @Test
    void deliversNoEventTwiceAndNoneAfterAGap() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().startStream();
        bed.link.last().sendEvents(1, 3);
        bed.link.last().sendEvents(2, 4);
        bed.link.last().sendEvents(6, 7);

        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 4));
        assertThat(bed.link.last().dispatch.lastEventId()).isEqualTo(4);
    }

    @Test
    void doesNotEndAsCompleteInTheMiddleOfAnEvent() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().startStream();
        bed.link.last().sendEvents(1, 2);
        bed.link.last().sendRaw("id: 3\ndata: t");
        bed.link.last().endStream();

        assertThat(reply.complete).isFalse();
        assertThat(bed.link.received).hasSize(2);
    }

    @Test
    void refusesAsNotRunWhenEveryTargetSaysSo() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().respondNotRun(503);
        bed.link.last().respondNotRun(503);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(reply.refusal.retryAfterMillis()).isGreaterThan(0);
    }

    @Test
    void reportsFailedWhenATargetBeganAndNoOtherHasCapacity() {
        RecordedReply reply = bed.send("/stream/x");
        for (String target : List.of("east-low", "west-low")) {
            bed.registry.find(target).get().avoid(5_000);
        }
        bed.link.last().fail(LinkFailure.BROKEN);
        bed.timers.advance(3_000);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.FAILED);
    }

    @Test
    void reportsFailedWhenATargetBeganAndNoOtherIsAllowed() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().fail(LinkFailure.BROKEN);
        bed.link.last().fail(LinkFailure.BROKEN);

        assertThat(reply.refusal.code().status()).isEqualTo(502);
        assertThat(bed.link.received).hasSize(2);
    }

    @Test
    void usesNoThirdTargetWhileTheFirstTwoAreAlive() {
        RecordedReply reply = bed.send("/stream/x");
        for (int i = 0; i < 2; i++) {
            FakeTargetLink.ReceivedRequest sent = bed.link.last();
            sent.startStream();
            sent.sendEvents(1 + 2 * i, 2 + 2 * i);
            // The notice of a crash names the requests that ran there.
            bed.forwarder.onDownNotice(
                    sent.dispatch.path().hops().get(1).target().entry().instanceId(), List.of("another request"));
            bed.forwarder.onDownNotice(sent.dispatch.target().instanceId(), List.of("another request"));
        }

        assertThat(bed.link.received).hasSize(2);
        assertThat(reply.aborted).isTrue();
    }

    @Test
    void detectsASilentEngineByItsStalledStreamsAndResumesWithin200Millis() {
        List<RecordedReply> replies = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            replies.add(bed.send("/stream/" + i));
        }
        List<FakeTargetLink.ReceivedRequest> first = List.copyOf(bed.link.received);
        for (int event = 1; event <= 5; event++) {
            for (FakeTargetLink.ReceivedRequest sent : first) {
                if (event == 1) {
                    sent.startStream();
                }
                sent.sendEvents(event, event);
            }
            bed.timers.advance(45);
        }
        String silent =
                first.get(0).dispatch.path().hops().get(1).target().entry().id();
        bed.link.healthByTarget.put(silent, TargetLink.Health.SILENT);
        long at = bed.timers.nowMillis();
        while (bed.link.received.size() == first.size() && bed.timers.nowMillis() < at + 1_000) {
            for (FakeTargetLink.ReceivedRequest sent : first) {
                boolean stalled = sent.dispatch.path().containsInstance(silent + "@1");
                if (!stalled && (bed.timers.nowMillis() - at) % 45 == 0) {
                    sent.sendEvents(6 + (bed.timers.nowMillis() - at) / 45, 6 + (bed.timers.nowMillis() - at) / 45);
                }
            }
            bed.timers.advance(5);
        }

        // The last events were sent 45 ms before, so the stream pauses for at most 200 ms.
        assertThat(bed.timers.nowMillis() - at).isAtMost(155);
        assertThat(bed.link.last().dispatch.path().containsInstance(silent + "@1"))
                .isFalse();
        assertThat(bed.published).contains(silent + "@1");
    }

    @Test
    void doesNotProbeEnginesAfterAPauseOfThisDaemon() {
        bed.send("/stream/x");
        bed.link.last().startStream();
        bed.link.last().sendEvents(1, 3);
        bed.timers.advance(30);
        int probes = bed.link.probeCount;

        bed.timers.suspend(5_000);
        bed.timers.advance(15);

        assertThat(bed.link.probeCount).isEqualTo(probes);
        assertThat(bed.link.received).hasSize(1);
    }

    @Test
    void usesAnEngineThatWasFoundDownAgainOnceItAnswers() {
        bed.link.healthByTarget.put("east-low", TargetLink.Health.SILENT);
        bed.forwarder.onDownNotice("west-low@1", List.of());
        RecordedReply reply = bed.send("/stream/x");
        FakeTargetLink.ReceivedRequest sent = bed.link.last();
        assertThat(sent.dispatch.target().id()).isEqualTo("east-low");
        bed.timers.advance(700);

        assertThat(bed.registry.find("east-low").get().isDown()).isTrue();
        bed.link.healthByTarget.put("east-low", TargetLink.Health.ALIVE);
        bed.timers.advance(800);
        assertThat(bed.registry.find("east-low").get().isDown()).isFalse();
        assertThat(reply.aborted).isFalse();
    }

    @Test
    void cancelsTheRequestWhenTheCallerDisconnects() {
        RecordedReply reply = new RecordedReply();
        Forwarder.RequestHandle handle = bed.forwarder.onRequest(bed.request("/stream/x"), reply);
        bed.link.last().startStream();
        bed.link.last().sendEvents(1, 2);
        handle.onCallerDisconnected();

        assertThat(bed.link.last().cancelled).isTrue();
        assertThat(bed.forwarder.inFlight()).isEqualTo(0);
        assertThat(bed.registry.find("east-low").get().reservedTokenLayers()
                        + bed.registry.find("west-low").get().reservedTokenLayers())
                .isWithin(1e-6)
                .of(0);
    }

    @Test
    void abortsAtTheRoutesTimeout() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().startStream();
        bed.link.last().sendEvents(1, 2);
        for (int i = 0; i < 200 && reply.isOpen(); i++) {
            bed.timers.advance(100);
            if (reply.isOpen()) {
                bed.link.last().sendEvents(3 + i, 3 + i);
            }
        }

        assertThat(reply.aborted).isTrue();
        assertThat(reply.complete).isFalse();
    }

    @Test
    void queuesRequestsAndRefusesThoseThatWouldWaitTooLong() {
        List<RecordedReply> replies = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            replies.add(bed.send("/stream/" + i));
        }
        bed.timers.advance(3_000);

        long refused = replies.stream().filter(r -> r.refusal != null).count();
        assertThat(refused).isGreaterThan(0L);
        for (RecordedReply reply : replies) {
            if (reply.refusal != null) {
                assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
                assertThat(reply.refusal.retryAfterMillis()).isGreaterThan(0);
            }
        }
    }
}
