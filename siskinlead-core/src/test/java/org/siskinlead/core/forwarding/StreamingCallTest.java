package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.fakes.FakeLink;
import org.siskinlead.core.fakes.ForwardingBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests streams through engines that crash, stop responding, refuse requests or send invalid data. */
class StreamingCallTest {
    private final ForwardingBed bed = new ForwardingBed();

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
        bed.link.last().begin();
        bed.link.last().events(1, 3);
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.whole(1, 3));
        bed.link.last().end();

        assertThat(reply.complete).isTrue();
    }

    @Test
    void resumesOnAnotherTargetAfterTheLastDeliveredEventWhenTheConnectionBreaks() {
        RecordedReply reply = bed.send("/stream/x");
        FakeLink.Sent first = bed.link.last();
        first.begin();
        first.events(1, 5);
        first.raw("id: 6\nda");
        first.fail(LinkFailure.BROKEN);

        FakeLink.Sent second = bed.link.last();
        assertThat(second.dispatch.lastEventId()).isEqualTo(5);
        assertThat(second.dispatch.target().id())
                .isNotEqualTo(first.dispatch.target().id());
        second.begin();
        second.events(6, 9);
        second.end();
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.whole(1, 9));
        assertThat(reply.complete).isTrue();
    }

    @Test
    void deliversNoEventTwiceAndNoneAfterAGap() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().begin();
        bed.link.last().events(1, 3);
        bed.link.last().events(2, 4);
        bed.link.last().events(6, 7);

        assertThat(reply.events.toString()).isEqualTo(RecordedReply.whole(1, 4));
        assertThat(bed.link.last().dispatch.lastEventId()).isEqualTo(4);
    }

    @Test
    void doesNotEndAsCompleteInTheMiddleOfAnEvent() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().begin();
        bed.link.last().events(1, 2);
        bed.link.last().raw("id: 3\ndata: t");
        bed.link.last().end();

        assertThat(reply.complete).isFalse();
        assertThat(bed.link.sent).hasSize(2);
    }

    @Test
    void refusesAsNotRunOnlyWhileNothingHasRun() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().refuseAsNotRun(503);
        bed.link.last().refuseAsNotRun(503);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(reply.refusal.retryAfterMillis()).isGreaterThan(0);
    }

    @Test
    void reportsFailedWhenATargetBeganAndNoOtherHasRoom() {
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
        assertThat(bed.link.sent).hasSize(2);
    }

    @Test
    void usesNoThirdTargetWhileTheFirstTwoAreAlive() {
        RecordedReply reply = bed.send("/stream/x");
        for (int i = 0; i < 2; i++) {
            FakeLink.Sent sent = bed.link.last();
            sent.begin();
            sent.events(1 + 2 * i, 2 + 2 * i);
            bed.forwarder.onDownNotice(
                    sent.dispatch.path().hops().get(1).target().entry().life(), List.of());
            bed.forwarder.onDownNotice(sent.dispatch.target().life(), List.of());
        }

        assertThat(bed.link.sent).hasSize(2);
        assertThat(reply.aborted).isTrue();
    }

    @Test
    void detectsASilentEngineByItsStalledStreamsAndResumesWithin200Millis() {
        List<RecordedReply> replies = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            replies.add(bed.send("/stream/" + i));
        }
        List<FakeLink.Sent> first = List.copyOf(bed.link.sent);
        for (int event = 1; event <= 5; event++) {
            for (FakeLink.Sent sent : first) {
                if (event == 1) {
                    sent.begin();
                }
                sent.events(event, event);
            }
            bed.timers.advance(45);
        }
        String silent =
                first.get(0).dispatch.path().hops().get(1).target().entry().id();
        bed.link.health.put(silent, TargetLink.Health.SILENT);
        long at = bed.timers.nowMillis();
        while (bed.link.sent.size() == first.size() && bed.timers.nowMillis() < at + 1_000) {
            for (FakeLink.Sent sent : first) {
                boolean stalled = sent.dispatch.path().includes(silent + "@1");
                if (!stalled && (bed.timers.nowMillis() - at) % 45 == 0) {
                    sent.events(6 + (bed.timers.nowMillis() - at) / 45, 6 + (bed.timers.nowMillis() - at) / 45);
                }
            }
            bed.timers.advance(5);
        }

        assertThat(bed.timers.nowMillis() - at).isAtMost(155);
        assertThat(bed.link.last().dispatch.path().includes(silent + "@1")).isFalse();
        assertThat(bed.published).contains(silent + "@1");
    }

    @Test
    void doesNotBlameTheEnginesForAPauseOfThisDaemon() {
        bed.send("/stream/x");
        bed.link.last().begin();
        bed.link.last().events(1, 3);
        bed.timers.advance(30);
        int probes = bed.link.probes;

        bed.timers.suspend(5_000);
        bed.timers.advance(15);

        assertThat(bed.link.probes).isEqualTo(probes);
        assertThat(bed.link.sent).hasSize(1);
    }

    @Test
    void usesAnEngineThatWasFoundDownAgainOnceItAnswers() {
        bed.link.health.put("east-low", TargetLink.Health.SILENT);
        bed.forwarder.onDownNotice("west-low@1", List.of());
        RecordedReply reply = bed.send("/stream/x");
        FakeLink.Sent sent = bed.link.last();
        assertThat(sent.dispatch.target().id()).isEqualTo("east-low");
        bed.timers.advance(700);

        assertThat(bed.registry.find("east-low").get().isDown()).isTrue();
        bed.link.health.put("east-low", TargetLink.Health.ALIVE);
        bed.timers.advance(800);
        assertThat(bed.registry.find("east-low").get().isDown()).isFalse();
        assertThat(reply.aborted).isFalse();
    }

    @Test
    void cancelsTheRequestWhenTheCallerDisconnects() {
        RecordedReply reply = new RecordedReply();
        Forwarder.RequestHandle handle = bed.forwarder.onRequest(bed.request("/stream/x"), reply);
        bed.link.last().begin();
        bed.link.last().events(1, 2);
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
        bed.link.last().begin();
        bed.link.last().events(1, 2);
        for (int i = 0; i < 200 && reply.isOpen(); i++) {
            bed.timers.advance(100);
            if (reply.isOpen()) {
                bed.link.last().events(3 + i, 3 + i);
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
