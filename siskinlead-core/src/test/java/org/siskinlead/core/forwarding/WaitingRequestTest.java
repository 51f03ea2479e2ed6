package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.catalog.Team;
import org.siskinlead.core.catalog.WeightedService;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests that requests wait for targets while that is of use to their callers, and are told at once when it is not. */
class WaitingRequestTest {
    /** Callers leave after eight times the gap objective, four times the latency objective, or this time. */
    private static final long CALLER_PATIENCE_MS = 2_000;
    /** Interval at which the queue is served. */
    private static final long TICK_MS = 10;

    private final ForwardingTestBed bed = new ForwardingTestBed();
    private Forwarder.RequestHandle lastFiller = () -> {};

    // Guards against callers that are refused although room comes while they still wait.
    @Test
    void waitsForRoomAsLongAsTheCallerOfAStreamDoes() {
        fillEngines();
        RecordedReply reply = bed.send("/stream/x");
        bed.timers.advance(CALLER_PATIENCE_MS - 100);
        assertThat(reply.isOpen()).isTrue();
        int sent = bed.link.received.size();
        lastFiller.onCallerDisconnected();
        bed.timers.advance(TICK_MS);

        assertThat(bed.link.received).hasSize(sent + 1);
        assertThat(reply.isOpen()).isTrue();
    }

    // Guards against callers that leave at their own limit without having been told anything.
    @Test
    void refusesAStreamBeforeItsCallerLeaves() {
        fillEngines();
        RecordedReply reply = bed.send("/stream/x");
        bed.timers.advance(CALLER_PATIENCE_MS + TICK_MS);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
    }

    // Guards against a repeat that waits longer than its caller: the time of the first send has passed for it too.
    @Test
    void refusesAStreamThatATargetTurnedAwayLateBeforeItsCallerLeaves() {
        RecordedReply reply = bed.send("/stream/x");
        ReceivedRequest first = bed.link.last();
        fillEngines();
        bed.timers.advance(CALLER_PATIENCE_MS / 2);
        first.respondNotRun(503);
        if (reply.isOpen() && bed.link.last() != first) {
            bed.link.last().respondNotRun(503);
        }
        bed.timers.advance(CALLER_PATIENCE_MS / 2 + TICK_MS);

        assertThat(reply.isOpen()).isFalse();
        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
    }

    // Guards against requests that are sent although their answer comes after their callers have left.
    @Test
    void doesNotSendAStreamWhoseFirstEventCannotReachItsCallerInTime() {
        ReceivedRequest slow = fillEngines();
        bed.timers.advance(900);
        slow.startStream();
        slow.sendEvents(1, 1);
        RecordedReply reply = bed.send("/stream/x");
        bed.timers.advance(CALLER_PATIENCE_MS - 900);
        int sent = bed.link.received.size();
        slow.endStream();
        bed.timers.advance(100);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(bed.link.received).hasSize(sent);
    }

    // Guards against callers that are refused although a target can answer within their time.
    @Test
    void waitsForATargetThatCanStillAnswerACallInTime() {
        RecordedReply reply = send("/unsafe/x", 2_000);
        bed.timers.advance(50);
        bed.link.last().respond(200);
        for (int i = 0; i < 3; i++) {
            bed.registry.find("p" + i).orElseThrow().avoid(600);
        }
        reply = send("/unsafe/x", 2_000);
        bed.timers.advance(620);

        assertThat(bed.link.received).hasSize(2);
        bed.link.last().respond(200);
        assertThat(reply.answer.status()).isEqualTo(200);
    }

    // Guards against callers that wait to their deadline although no target can answer by then.
    @Test
    void refusesACallAtOnceThatNoTargetAcceptsInTime() {
        RecordedReply reply = send("/unsafe/x", 2_000);
        bed.timers.advance(300);
        bed.link.last().respond(200);
        for (int i = 0; i < 3; i++) {
            bed.registry.find("p" + i).orElseThrow().avoid(600);
        }
        reply = send("/unsafe/x", 2_000);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
    }

    // Guards against callers that wait for a service that has no targets.
    @Test
    void refusesAtOnceWhatNoTargetInServiceCanRun() {
        for (String target : List.of("p0", "p1", "p2", "east-high", "west-high")) {
            bed.registry.unregister(target);
        }

        for (String path : List.of("/safe/x", "/unsafe/x", "/stream/x")) {
            RecordedReply reply = bed.send(path);
            assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
            assertThat(reply.refusal.retryAfterMillis()).isGreaterThan(0L);
        }
    }

    // Guards against callers that wait behind less urgent ones because these were sent in vain before.
    @Test
    void doesNotLetARepeatPassAMoreUrgentFirstTry() {
        bed.forwarder.onCatalog(catalogOfTwoPriorities());
        bed.send("/later/x");
        ReceivedRequest turnedAway = bed.link.last();
        fillEngines("/later/filler");
        bed.send("/urgent/x");
        turnedAway.respondNotRun(503);
        int sent = bed.link.received.size();
        bed.timers.advance(TICK_MS);
        lastFiller.onCallerDisconnected();
        bed.timers.advance(2 * TICK_MS);

        assertThat(bed.link.received.get(sent).dispatch.request().path()).isEqualTo("/urgent/x");
    }

    // Guards against callers that wait behind later ones of the same urgency.
    @Test
    void doesNotLetANewCallPassOneThatWaits() {
        for (int i = 0; i < 3; i++) {
            bed.registry.find("p" + i).orElseThrow().avoid(TICK_MS / 2);
        }
        bed.send("/unsafe/first");
        bed.timers.advance(TICK_MS / 2);
        bed.send("/unsafe/second");
        bed.timers.advance(TICK_MS);

        assertThat(bed.link.received.stream()
                        .map(r -> r.dispatch.request().path())
                        .toList())
                .containsExactly("/unsafe/first", "/unsafe/second")
                .inOrder();
    }

    private static Catalog catalogOfTwoPriorities() {
        Catalog usual = ForwardingTestBed.catalog(2, Set.of(ForwardingTestBed.KEY));
        return Catalog.of(
                2,
                List.of(stream("urgent", 0), stream("later", 1)),
                List.copyOf(usual.services()),
                List.of(new Team("team", Set.of(ForwardingTestBed.KEY), null)),
                usual.limits());
    }

    private static Route stream(String name, int priority) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                RouteKind.STREAM,
                List.of(new WeightedService(Fleets.SERVICE, 1)),
                20_000,
                500,
                200,
                priority,
                2,
                false,
                true);
    }

    /** Uses all memory of the engines for requests whose answers do not begin; returns the last one sent. */
    private ReceivedRequest fillEngines() {
        ReceivedRequest last = fillEngines("/stream/filler");
        bed.timers.advance(CALLER_PATIENCE_MS + TICK_MS);
        return last;
    }

    private ReceivedRequest fillEngines(String path) {
        int before = -1;
        while (before != bed.link.received.size()) {
            before = bed.link.received.size();
            Forwarder.RequestHandle handle = bed.forwarder.onRequest(bed.request(path), new RecordedReply());
            lastFiller = bed.link.received.size() > before ? handle : lastFiller;
        }
        return bed.link.last();
    }

    private RecordedReply send(String path, long timeBudgetMillis) {
        RecordedReply reply = new RecordedReply();
        bed.forwarder.onRequest(bed.request(path, ForwardingTestBed.KEY, timeBudgetMillis), reply);
        return reply;
    }
}
