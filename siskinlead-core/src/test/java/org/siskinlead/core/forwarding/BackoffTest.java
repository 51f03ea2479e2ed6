package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests that a target that turns a request away for a time is left alone for that time, by requests and by probes. */
class BackoffTest {
    private static final long BACKOFF_MS = 4_000;
    /** Requests that may reach a target that asked for a backoff, by the users' rule. */
    private static final int MAX_ARRIVALS = 2;
    /** Enough for every target to be used. */
    private static final int CONCURRENT = 30;

    private static final long ANSWER_MS = 5;

    private final ForwardingTestBed bed = new ForwardingTestBed();

    private String turnAway(String path) {
        arrivals(path, 3, 50);
        bed.send(path);
        ReceivedRequest sent = bed.link.last();
        sent.retryAfterMillis = BACKOFF_MS;
        sent.respondNotRun(503);
        return sent.dispatch.target().id();
    }

    private static void answer(ReceivedRequest sent) {
        if (sent.dispatch.path() == null) {
            sent.respond(200);
        } else {
            sent.startStream();
            sent.sendEvents(1, 2);
            sent.endStream();
        }
    }

    private Map<String, Integer> arrivals(String path, int requests, long intervalMillis) {
        Map<String, Integer> arrivals = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            int before = bed.link.received.size();
            for (int concurrent = 0; concurrent < CONCURRENT; concurrent++) {
                bed.send(path);
            }
            bed.timers.advance(ANSWER_MS);
            for (ReceivedRequest sent : List.copyOf(bed.link.received.subList(before, bed.link.received.size()))) {
                arrivals.merge(sent.dispatch.target().id(), 1, Integer::sum);
                answer(sent);
            }
            bed.timers.advance(intervalMillis);
            bed.renewProof();
        }
        return arrivals;
    }

    // Guards against requests that a target has asked not to be sent for a time.
    @Test
    void leavesATargetAloneThatAskedForBackoff() {
        String turnedAway = turnAway("/safe/x");

        assertThat(arrivals("/safe/x", 70, 50).getOrDefault(turnedAway, 0)).isAtMost(MAX_ARRIVALS);
        assertThat(bed.registry.find(turnedAway).orElseThrow().isAvailable()).isTrue();
    }

    @Test
    void leavesAnEngineAloneThatAskedForBackoff() {
        String turnedAway = turnAway("/stream/x");

        assertThat(arrivals("/stream/x", 70, 50).getOrDefault(turnedAway, 0)).isAtMost(MAX_ARRIVALS);
    }

    @Test
    void usesTheTargetAgainOnceTheTimeHasPassed() {
        String turnedAway = turnAway("/safe/x");
        bed.timers.advance(BACKOFF_MS);
        bed.renewProof();

        assertThat(arrivals("/safe/x", 60, 20)).containsKey(turnedAway);
    }

    @Test
    void doesNotProbeATargetThatAskedForBackoff() {
        String turnedAway = turnAway("/stream/x");
        int before = bed.link.probesByTarget.getOrDefault(turnedAway, 0);
        for (int i = 0; i < 10; i++) {
            bed.send("/stream/x");
            ReceivedRequest sent = bed.link.last();
            sent.startStream();
            sent.sendEvents(1, 2);
            bed.timers.advance(300);
            bed.renewProof();
            sent.fail(LinkFailure.BROKEN);
        }

        assertThat(bed.link.probesByTarget.getOrDefault(turnedAway, 0) - before).isAtMost(MAX_ARRIVALS);
    }

    // Guards against callers that wait for targets of which it is known that none wants requests in time.
    @Test
    void refusesAtOnceWithTheTimeThatIsLeftWhileAllTargetsAskForBackoff() {
        List<RecordedReply> replies = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            replies.add(bed.send("/safe/x"));
            int before = -1;
            while (before != bed.link.received.size()) {
                before = bed.link.received.size();
                for (ReceivedRequest sent : List.copyOf(bed.link.received)) {
                    if (sent.retryAfterMillis == 0) {
                        sent.retryAfterMillis = BACKOFF_MS;
                        sent.respondNotRun(503);
                    }
                }
            }
        }
        int sent = bed.link.received.size();
        RecordedReply reply = bed.send("/safe/x");

        assertThat(sent).isAtMost(6);
        assertThat(reply.refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
        assertThat(reply.refusal.retryAfterMillis()).isAtLeast(BACKOFF_MS - 100);
        assertThat(reply.refusal.retryAfterMillis()).isAtMost(2 * BACKOFF_MS);
        assertThat(replies.stream()
                        .filter(r -> r.refusal != null && r.refusal.retryAfterMillis() >= BACKOFF_MS - 100)
                        .mapToLong(r -> r.refusal.retryAfterMillis())
                        .distinct()
                        .count())
                .isGreaterThan(5);
    }
}
