package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests what a daemon sends to targets that name a limit: requests of each kind, retries and resumed streams. */
class RateLimitedTargetTest {
    private final ForwardingTestBed bed = new ForwardingTestBed();

    private void limit(String target, double perSecond) {
        String instanceId = bed.registry.find(target).orElseThrow().entry().instanceId();
        bed.rateLimits.onAnswer(instanceId, bed.timers.nowMillis(), perSecond);
    }

    private List<ReceivedRequest> receivedBy(String target) {
        return bed.link.received.stream()
                .filter(r -> r.dispatch.path() == null
                        ? r.dispatch.target().id().equals(target)
                        : r.dispatch.path().hops().stream()
                                .anyMatch(h -> h.target().entry().id().equals(target)))
                .toList();
    }

    private void run(String path, int requests, long intervalMillis) {
        for (int i = 0; i < requests; i++) {
            bed.send(path);
            bed.timers.advance(intervalMillis);
            bed.renewProof();
        }
    }

    @Test
    void learnsTheLimitFromAnAnswer() {
        bed.send("/safe/x");
        ReceivedRequest sent = bed.link.last();
        sent.requestsPerSecond = 2;
        sent.respond(200);

        assertThat(bed.rateLimits.perSecond(sent.dispatch.target().instanceId()))
                .isEqualTo(2);
    }

    // Guards against an answer of another instance at the same address being taken for that of the expected one.
    @Test
    void learnsNothingFromAnotherTarget() {
        limit("p0", 2);
        limit("p1", 2);
        limit("p2", 2);
        bed.timers.advance(2_000);
        bed.renewProof();
        bed.send("/safe/x");
        ReceivedRequest sent = bed.link.last();
        sent.respondNotRun(421);

        assertThat(bed.rateLimits.limitedInstances()).hasSize(3);
    }

    @Test
    void keepsTheLimitOfAPlainTarget() {
        limit("p0", 1);
        run("/safe/x", 200, 50);

        assertThat(receivedBy("p0").size()).isAtMost(12);
        assertThat(receivedBy("p1").size() + receivedBy("p2").size()).isAtLeast(188);
    }

    // Guards against an engine behind the first one getting what its limit does not allow.
    @Test
    void keepsTheLimitOfEveryEngineOfAPath() {
        limit("east-low", 1);
        limit("west-high", 2);
        run("/stream/x", 200, 50);

        assertThat(receivedBy("east-low").size()).isAtMost(12);
        assertThat(receivedBy("west-high").size()).isAtMost(23);
    }

    // Guards against retries that go over the limit.
    @Test
    void countsRetriesAndResumedStreams() {
        limit("east-low", 1);
        limit("west-low", 1);
        List<RecordedReply> replies = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            replies.add(bed.send("/stream/x"));
            bed.timers.advance(50);
            for (ReceivedRequest sent : List.copyOf(bed.link.received)) {
                if (!sent.cancelled) {
                    sent.cancelled = true;
                    sent.requestsPerSecond = 1;
                    sent.startStream();
                    sent.sendEvents(sent.dispatch.lastEventId() + 1, sent.dispatch.lastEventId() + 1);
                    sent.fail(LinkFailure.BROKEN);
                }
            }
            bed.timers.advance(50);
            bed.renewProof();
        }

        assertThat(bed.link.received.size()).isAtMost(2 * 12);
        assertThat(replies.stream().filter(r -> r.started).count()).isAtLeast(8);
    }

    // Guards against callers waiting for room that other daemons or other callers have.
    @Test
    void refusesAtOnceAndSaysWhenThereIsRoom() {
        for (String target : List.of("p0", "p1", "p2")) {
            limit(target, 0.25);
        }
        List<RecordedReply> replies = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            replies.add(bed.send("/unsafe/x"));
        }

        List<RecordedReply> refused =
                replies.stream().filter(r -> r.refusal != null).toList();
        assertThat(bed.link.received.size() + refused.size()).isEqualTo(20);
        assertThat(refused.size()).isAtLeast(17);
        for (RecordedReply reply : refused) {
            assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
            assertThat(reply.refusal.retryAfterMillis()).isAtLeast(500);
            assertThat(reply.refusal.retryAfterMillis()).isAtMost(5_000);
        }
    }
}
