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
import org.siskinlead.core.fakes.FakeTargetLink;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests that safe requests are retried when targets fail, and that unsafe ones never run twice. */
class BufferedCallTest {
    private final ForwardingTestBed bed = new ForwardingTestBed();

    @Test
    void deliversTheTargetsAnswer() {
        RecordedReply reply = bed.send("/unsafe/x");
        bed.link.last().respond(201);

        assertThat(reply.answer.status()).isEqualTo(201);
        assertThat(bed.forwarder.inFlight()).isEqualTo(0);
    }

    @Test
    void neverSendsAnUnsafeRequestAgainThatMayHaveRun() {
        for (LinkFailure failure : new LinkFailure[] {LinkFailure.BROKEN, LinkFailure.MALFORMED}) {
            int before = bed.link.received.size();
            RecordedReply reply = bed.send("/unsafe/x");
            bed.link.last().fail(failure);
            bed.timers.advance(2_000);
            bed.renewProof();

            assertThat(bed.link.received).hasSize(before + 1);
            assertThat(reply.refusal.code()).isEqualTo(RefusalCode.OUTCOME_UNKNOWN);
            assertThat(reply.refusal.code().status()).isEqualTo(502);
            assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.UNKNOWN);
        }
    }

    @Test
    void sendsAnUnsafeRequestToAnotherTargetWhenTheConnectionIsRefused() {
        RecordedReply reply = bed.send("/unsafe/x");
        FakeTargetLink.ReceivedRequest first = bed.link.last();
        first.fail(LinkFailure.REFUSED);

        FakeTargetLink.ReceivedRequest second = bed.link.last();
        assertThat(second).isNotSameInstanceAs(first);
        assertThat(second.dispatch.target().id())
                .isNotEqualTo(first.dispatch.target().id());
        second.respond(200);
        assertThat(reply.answer.status()).isEqualTo(200);
    }

    @Test
    void refusesAnUnsafeRequestAsNotRunWhenTheTargetSaysSo() {
        RecordedReply reply = bed.send("/unsafe/x");
        bed.link.last().respondNotRun(503);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(reply.refusal.code().status()).isEqualTo(503);
        assertThat(reply.refusal.retryAfterMillis()).isGreaterThan(0);
    }

    // Guards against a request that ran and is sent again, because its caller was told that it did not run.
    @Test
    void doesNotReportAsNotRunWhatATargetMayHaveRun() {
        for (int status : new int[] {408, 429, 503}) {
            RecordedReply reply = bed.send("/unsafe/x");
            bed.link.last().respond(status);

            assertThat(reply.answer).isNull();
            assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.UNKNOWN);
            assertThat(reply.refusal.code().status()).isEqualTo(502);
        }
    }

    @Test
    void doesNotReportAStreamAsNotRunThatATargetMayHaveRun() {
        bed.forwarder.onCatalog(catalogOfAStreamThatCannotBeResumed());
        RecordedReply reply = bed.send("/once/x");
        bed.link.last().respond(429);

        assertThat(reply.answer).isNull();
        assertThat(reply.refusal.code().status()).isEqualTo(502);
        assertThat(bed.link.received).hasSize(1);
    }

    private static Catalog catalogOfAStreamThatCannotBeResumed() {
        Catalog usual = ForwardingTestBed.catalog(2, Set.of(ForwardingTestBed.KEY));
        Route once = new Route(
                "once",
                "host",
                "/once/",
                RouteKind.STREAM,
                List.of(new WeightedService("plain", 1)),
                2_000,
                300,
                200,
                1,
                2,
                false,
                false);
        return Catalog.of(
                2,
                List.of(once),
                List.copyOf(usual.services()),
                List.of(new Team("team", Set.of(ForwardingTestBed.KEY), 1)),
                usual.limits());
    }

    @Test
    void passesOnASafeRequestsRefusalByItsTarget() {
        RecordedReply reply = bed.send("/safe/x");
        bed.link.last().respond(429);

        assertThat(reply.answer.status()).isEqualTo(429);
    }

    @Test
    void passesOnATargetsOwnFailureOfAnUnsafeRequest() {
        RecordedReply reply = bed.send("/unsafe/x");
        bed.link.last().respond(500);

        assertThat(reply.answer.status()).isEqualTo(500);
        assertThat(bed.link.received).hasSize(1);
    }

    @Test
    void asksAnotherTargetWhenASafeRequestFails() {
        RecordedReply reply = bed.send("/safe/x");
        bed.link.last().respond(500);
        bed.link.last().respond(200);

        assertThat(bed.link.received).hasSize(2);
        assertThat(reply.answer.status()).isEqualTo(200);
    }

    @Test
    void sendsASafeRequestToNoMoreTargetsThanItsRouteAllows() {
        RecordedReply reply = bed.send("/safe/x");
        bed.link.last().respond(500);
        bed.link.last().respond(500);
        bed.timers.advance(1_000);

        assertThat(bed.link.received).hasSize(2);
        assertThat(reply.answer.status()).isEqualTo(500);
    }

    @Test
    void asksAnotherTargetWhenOneDoesNotAnswerASafeRequest() {
        RecordedReply reply = bed.send("/safe/x");
        FakeTargetLink.ReceivedRequest unresponsive = bed.link.last();
        bed.timers.advance(260);

        assertThat(unresponsive.cancelled).isTrue();
        assertThat(bed.link.received).hasSize(2);
        bed.link.last().respond(200);
        assertThat(reply.answer.status()).isEqualTo(200);
    }

    // Guards against callers whose whole time is spent at a target that does not answer.
    @Test
    void leavesASecondTargetAsMuchTimeAsTheFirst() {
        bed.forwarder.onRequest(bed.request("/safe/x", ForwardingTestBed.KEY, 300), new RecordedReply());
        bed.timers.advance(160);

        assertThat(bed.link.received).hasSize(2);
        assertThat(bed.link.last().dispatch.remainingMillis()).isAtLeast(140);
    }

    // Guards against running requests that are given up although targets of the service usually take as long.
    @Test
    void givesATargetThatIsUsuallySlowMoreTime() {
        for (int i = 0; i < 60; i++) {
            bed.send("/unsafe/x");
            bed.timers.advance(120);
            bed.link.last().respond(200);
            bed.renewProof();
        }
        int sent = bed.link.received.size();
        bed.send("/safe/x");
        bed.timers.advance(300);

        assertThat(bed.link.received).hasSize(sent + 1);
    }

    @Test
    void rejectsASuccessWithoutASealAndAnAnswerToAnotherRequest() {
        RecordedReply unsealed = bed.send("/unsafe/x");
        bed.link.last().respondWithoutSeal();
        RecordedReply mismatched = bed.send("/unsafe/x");
        bed.link.last().respondForAnotherRequest();

        assertThat(unsealed.refusal.code()).isEqualTo(RefusalCode.OUTCOME_UNKNOWN);
        assertThat(mismatched.refusal.code()).isEqualTo(RefusalCode.OUTCOME_UNKNOWN);
    }

    @Test
    void refusesAtTheRoutesTimeoutAndCancelsTheRequest() {
        RecordedReply reply = bed.send("/unsafe/x");
        bed.timers.advance(800);

        assertThat(reply.refusal.code()).isEqualTo(RefusalCode.DEADLINE_EXCEEDED);
        assertThat(reply.refusal.code().status()).isEqualTo(504);
        assertThat(bed.link.last().cancelled).isTrue();
    }

    @Test
    void cancelsTheRequestWhenTheCallerDisconnects() {
        RecordedReply reply = new RecordedReply();
        Forwarder.RequestHandle handle = bed.forwarder.onRequest(bed.request("/safe/x"), reply);
        handle.onCallerDisconnected();

        assertThat(bed.link.last().cancelled).isTrue();
        assertThat(reply.isOpen()).isTrue();
        assertThat(bed.forwarder.inFlight()).isEqualTo(0);
    }

    @Test
    void refusesAsNotRunWhenNoTargetIsLeft() {
        for (int i = 0; i < 3; i++) {
            bed.registry.unregister("p" + i);
        }
        RecordedReply reply = bed.send("/unsafe/x");
        bed.timers.advance(200);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(bed.link.received).isEmpty();
    }

    @Test
    void givesTargetsNoMoreTimeThanTheCallerHasLeft() {
        RecordedReply reply = new RecordedReply();
        bed.forwarder.onRequest(bed.request("/safe/x", ForwardingTestBed.KEY, 700), reply);
        bed.timers.advance(260);

        assertThat(bed.link.received.get(0).dispatch.remainingMillis()).isEqualTo(700);
        assertThat(bed.link.last().dispatch.remainingMillis()).isAtMost(460);
    }
}
