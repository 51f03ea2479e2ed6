package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests that requests whose paths cross data centres are not sent beyond the capacity of the link between these. */
class InterconnectShareTest {
    /** Transfer time of a request of the test bed: 860 tokens of 42,268 bytes at 13,000 Mbit/s. */
    private static final double TRANSFER_MS = 860 * 42_268 * 8 / 13e6;

    private static final long ARRIVAL_INTERVAL_MS = 10;

    private final ForwardingTestBed bed = new ForwardingTestBed();
    private int ended;

    // Guards against a shortage that does not end: nearly all requests are sent, none gets an event before its caller
    // leaves.
    @Test
    void sendsNoMoreThanTheLinkBetweenDataCentresCarries() {
        leaveOnlyACrossingPath();
        List<RecordedReply> replies = sendForASecond();

        assertThat((double) bed.link.received.size()).isAtMost(1_000 / TRANSFER_MS + 1);
        assertThat((double) bed.link.received.size()).isAtLeast(0.6 * 1_000 / TRANSFER_MS);
        advance(2_100);
        for (RecordedReply reply : replies) {
            assertThat(reply.complete || reply.refusal != null).isTrue();
            assertThat(reply.refusal == null || reply.refusal.outcome() == RequestOutcome.NOT_RUN)
                    .isTrue();
        }
    }

    @Test
    void boundsNothingOnPathsWithinADataCentre() {
        sendForASecond();

        assertThat(bed.link.received.size()).isEqualTo(100);
    }

    private void leaveOnlyACrossingPath() {
        bed.registry.unregister("west-low");
        bed.registry.unregister("east-high");
    }

    /** Sends a request every 10 ms; each stream that was sent ends at once, so that memory is free. */
    private List<RecordedReply> sendForASecond() {
        List<RecordedReply> replies = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            replies.add(bed.send("/stream/x"));
            advance(ARRIVAL_INTERVAL_MS);
        }
        return replies;
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += ARRIVAL_INTERVAL_MS) {
            for (; ended < bed.link.received.size(); ended++) {
                bed.link.received.get(ended).startStream();
                bed.link.received.get(ended).sendEvents(1, 2);
                bed.link.received.get(ended).endStream();
            }
            bed.timers.advance(ARRIVAL_INTERVAL_MS);
        }
    }
}
