package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.catalog.CallerLimits;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.catalog.Team;
import org.siskinlead.core.catalog.WeightedService;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests which requests wait for the retry budget, with a budget of one retry in ten seconds. */
class RetryBudgetWaitTest {
    private static final long WINDOW_MS = 10_000;
    /** Time before the next retry that each caller of these tests has left. */
    private static final long SOON_MS = 500;

    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final ForwardingTestBed bed = new ForwardingTestBed(new RetryBudgetShare.Budget(0, 2, WINDOW_MS));

    @BeforeEach
    void useUpTheBudgetOfBothServices() {
        for (String path : new String[] {"/stream/first", "/safe/first"}) {
            bed.send(path);
            bed.link.last().respond(SERVER_ERROR);
            bed.link.last().startStream();
            bed.link.last().endStream();
        }
        assertThat(bed.link.received).hasSize(4);
        passTo(SOON_MS);
    }

    /** Passes the time until a retry becomes available, but for the last part of it. */
    private void passTo(long leftMillis) {
        bed.timers.advance(WINDOW_MS / 2);
        bed.renewProof();
        bed.timers.advance(WINDOW_MS / 2 - leftMillis);
        bed.renewProof();
    }

    private int sent() {
        return bed.link.received.size();
    }

    // Guards against streams that end although a retry comes while their caller still waits.
    @Test
    void sendsAStreamThatHasNotBegunAgainOnceTheBudgetAllowsIt() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().respond(SERVER_ERROR);
        assertThat(sent()).isEqualTo(5);

        bed.timers.advance(SOON_MS + 20);
        assertThat(sent()).isEqualTo(6);
        bed.link.last().startStream();
        bed.link.last().sendEvents(1, 3);
        bed.link.last().endStream();
        assertThat(reply.complete).isTrue();
    }

    // Guards against callers that wait for a retry which the budget does not give in their time.
    @Test
    void endsAStreamAtOnceWhenTheNextRetryComesTooLate() {
        passTo(SOON_MS);
        bed.send("/stream/x");
        bed.link.last().respond(SERVER_ERROR);
        passTo(WINDOW_MS / 2);
        RecordedReply reply = bed.send("/stream/y");
        bed.link.last().respond(SERVER_ERROR);

        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.FAILED);
        assertThat(bed.forwarder.counters().get(Count.RETRIES_DENIED)).isEqualTo(1);
    }

    // Guards against several callers that wait for one retry, which only the first of them gets.
    @Test
    void endsARequestAtOnceWhenAnotherOneIsToGetTheNextRetry() {
        RecordedReply first = bed.send("/safe/x");
        bed.link.last().respond(SERVER_ERROR);
        RecordedReply second = bed.send("/safe/y");
        bed.link.last().respond(SERVER_ERROR);

        assertThat(first.answer).isNull();
        assertThat(second.answer.status()).isEqualTo(SERVER_ERROR);
    }

    @Test
    void sendsABufferedRequestAgainOnceTheBudgetAllowsIt() {
        RecordedReply reply = bed.send("/safe/x");
        bed.link.last().respond(SERVER_ERROR);
        bed.timers.advance(SOON_MS + 20);
        assertThat(sent()).isEqualTo(6);
        bed.link.last().respond(200);

        assertThat(reply.answer.status()).isEqualTo(200);
    }

    // Guards against an answer that is lost because the retry that was to replace it was not sent.
    @Test
    void deliversTheErrorOfTheTargetWhenNoOtherTargetTakesTheRetry() {
        RecordedReply reply = bed.send("/safe/x");
        bed.link.last().respond(SERVER_ERROR);
        for (String target : new String[] {"p0", "p1", "p2"}) {
            bed.registry.unregister(target);
        }
        bed.timers.advance(1_000);

        assertThat(reply.answer.status()).isEqualTo(SERVER_ERROR);
    }

    // Guards against a request that runs twice, and against one that is given up though it has not run.
    @Test
    void sendsAnUnsafeRequestAgainAfterARefusalOnlyWhileItHasNotRun() {
        bed.forwarder.onCatalog(catalogOfAnUnsafeRoute());
        RecordedReply reply = bed.send("/twice/x");
        bed.link.last().respondNotRun(UNAVAILABLE);
        assertThat(sent()).isEqualTo(5);
        bed.timers.advance(SOON_MS + 20);
        assertThat(sent()).isEqualTo(6);
        bed.link.last().fail(LinkFailure.BROKEN);
        bed.timers.advance(1_000);

        assertThat(sent()).isEqualTo(6);
        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.UNKNOWN);
    }

    // Guards against a budget that is used up by retries that were never sent.
    @Test
    void paysNothingForARetryThatWasNotSent() {
        Forwarder.RequestHandle handle = bed.forwarder.onRequest(bed.request("/stream/x"), new RecordedReply());
        bed.link.last().respond(SERVER_ERROR);
        bed.timers.advance(SOON_MS / 2);
        handle.onCallerDisconnected();
        bed.timers.advance(SOON_MS);
        bed.send("/stream/y");
        bed.link.last().respond(SERVER_ERROR);

        assertThat(sent()).isEqualTo(7);
    }

    // Guards against first tries that wait for capacity behind requests that only wait for the budget.
    @Test
    void sendsAFirstTryAtOnceWhileARetryWaitsForTheBudget() {
        bed.send("/stream/x");
        bed.link.last().respond(SERVER_ERROR);
        bed.send("/stream/y");

        assertThat(sent()).isEqualTo(6);
    }

    private static Catalog catalogOfAnUnsafeRoute() {
        Route route = new Route(
                "twice",
                "host",
                "/twice/",
                RouteKind.UNSAFE,
                List.of(new WeightedService("plain", 1)),
                800,
                300,
                0,
                1,
                2,
                true,
                false);
        return Catalog.of(
                2,
                List.of(route),
                List.of(new Service("plain", "/health", 90, null)),
                List.of(new Team("team", Set.of(ForwardingTestBed.KEY), 1)),
                new CallerLimits(16_384, 1_000_000, 3_000, 15_000));
    }
}
