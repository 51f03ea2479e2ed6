package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests admission: freshness of the configuration, keys, routes, crash suspects and draining. */
class ForwarderTest {
    private final ForwardingTestBed bed = new ForwardingTestBed();

    @Test
    void answersAnUnknownPathAndAnUnknownKeyOnlyWithAFreshConfiguration() {
        RecordedReply noRoute = bed.send("/nowhere/x");
        RecordedReply noKey = new RecordedReply();
        bed.forwarder.onRequest(bed.request("/safe/x", "other", 1_000), noKey);

        assertThat(noRoute.refusal.code()).isEqualTo(RefusalCode.UNKNOWN_ROUTE);
        assertThat(noKey.refusal.code()).isEqualTo(RefusalCode.NO_CREDENTIAL);
    }

    @Test
    void refusesKeyedRequestsAsNotRunOnceTheProofHasExpired() {
        bed.timers.advance(ForwardingTestBed.MAX_PROOF_AGE_MS + 1);

        RecordedReply keyed = bed.send("/safe/x");
        RecordedReply unknown = bed.send("/nowhere/x");
        RecordedReply open = bed.send("/open/x");
        bed.timers.advance(400);

        assertThat(keyed.refusal.code()).isEqualTo(RefusalCode.CONFIGURATION_UNKNOWN);
        assertThat(keyed.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(unknown.refusal.code()).isEqualTo(RefusalCode.CONFIGURATION_UNKNOWN);
        assertThat(bed.link.received).hasSize(2);
        assertThat(bed.link.received.get(0).dispatch.request().path()).isEqualTo("/open/x");
        assertThat(open.isOpen() || open.refusal != null).isTrue();
    }

    @Test
    void holdsAKeyedRequestForARenewedProofAfterTheMachineWasSuspended() {
        bed.timers.suspend(6_000);

        RecordedReply reply = bed.send("/safe/x");
        assertThat(bed.link.received).isEmpty();
        assertThat(bed.renewalCount).isEqualTo(1);
        bed.renewProof();

        assertThat(bed.link.received).hasSize(1);
        bed.link.last().respond(200);
        assertThat(reply.answer.status()).isEqualTo(200);
    }

    @Test
    void refusesAKeyRevokedWhileTheRequestWaitedForAProof() {
        bed.timers.suspend(6_000);
        RecordedReply reply = bed.send("/safe/x");

        bed.forwarder.onCatalog(ForwardingTestBed.catalog(2, Set.of("another")));
        bed.renewProof();

        assertThat(reply.refusal.code()).isEqualTo(RefusalCode.NO_CREDENTIAL);
        assertThat(bed.link.received).isEmpty();
    }

    @Test
    void neverPutsAnOlderConfigurationInForce() {
        bed.forwarder.onCatalog(ForwardingTestBed.catalog(9, Set.of("newer")));
        bed.forwarder.onCatalog(ForwardingTestBed.catalog(8, Set.of(ForwardingTestBed.KEY)));

        RecordedReply reply = bed.send("/safe/x");

        assertThat(reply.refusal.code()).isEqualTo(RefusalCode.NO_CREDENTIAL);
    }

    @Test
    void refusesEverythingBeforeTheFirstConfiguration() {
        ForwardingTestBed empty = new ForwardingTestBed();
        Forwarder forwarder = Forwarder.of(
                empty.timers,
                empty.timeline,
                empty.registry,
                empty.link,
                TargetRateLimits.of("vm", List::of, empty.timers, empty.timeline),
                empty.freshness,
                () -> {},
                RetryBudgetShare.of(new RetryBudgetShare.Budget(0.2, 40, 10_000), () -> 1, empty.timers),
                () -> 1,
                new java.util.Random(1));
        RecordedReply reply = new RecordedReply();

        forwarder.onRequest(empty.request("/safe/x"), reply);

        assertThat(reply.refusal.code().status()).isEqualTo(503);
    }

    @Test
    void sendsARequestThatCrashesTargetsToNoThirdOne() {
        RecordedReply reply = null;
        int sends = 0;
        for (int i = 0; i < 6; i++) {
            int before = bed.link.received.size();
            reply = bed.send("/stream/poison");
            while (bed.link.received.size() > before) {
                before = bed.link.received.size();
                FakeTargetLink.ReceivedRequest running = bed.link.last();
                bed.link.healthByTarget.put(running.dispatch.target().id(), TargetLink.Health.CRASHED);
                running.fail(LinkFailure.BROKEN);
                bed.timers.advance(50);
            }
            sends = bed.link.received.size();
            bed.timers.advance(100);
            bed.renewProof();
        }

        assertThat(sends).isAtMost(3);
        assertThat(reply.refusal).isNotNull();
    }

    @Test
    void countsCrashesThatOtherDaemonsReport() {
        RecordedReply first = bed.send("/stream/poison");
        String fingerprint = fingerprintOf("/stream/poison");
        bed.forwarder.onDownNotice("x@1", List.of(fingerprint));
        bed.forwarder.onDownNotice("y@1", List.of(fingerprint));

        RecordedReply second = bed.send("/stream/poison");

        assertThat(second.refusal.code()).isEqualTo(RefusalCode.TARGET_CRASHES);
        assertThat(first.isOpen()).isTrue();
    }

    @Test
    void acceptsWhileDrainingOnlyRequestsThatEndInTime() {
        bed.forwarder.drainUntil(bed.timers.nowMillis() + 2_000);

        RecordedReply stream = bed.send("/stream/x");
        RecordedReply safe = bed.send("/safe/x");

        assertThat(stream.refusal.code()).isEqualTo(RefusalCode.DRAINING);
        assertThat(stream.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(safe.isOpen()).isTrue();
        bed.timers.advance(1_500);
        RecordedReply late = bed.send("/safe/y");
        assertThat(late.refusal.code()).isEqualTo(RefusalCode.DRAINING);
    }

    private static String fingerprintOf(String path) {
        return org.siskinlead.core.serving.Fingerprint.of(
                "POST", path, "team", new String(new byte[] {1}, java.nio.charset.StandardCharsets.ISO_8859_1));
    }
}
