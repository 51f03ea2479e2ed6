package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;

/**
 * Tests that progress of a stream means complete events. A target that only keeps its connection busy must not hold a
 * stream for ever, and a target that is slow but sound must not lose one.
 */
class StalledStreamTest {
    private static final long SLOW_GAP_MS = 900;
    private static final long BUSY_GAP_MS = 50;
    /** Callers leave after eight times the gap objective of 200 ms; a resumed stream must be under way before. */
    private static final long CALLER_PATIENCE_MS = 1_600;

    private final ForwardingTestBed bed = new ForwardingTestBed();
    private final RecordedReply reply = bed.send("/stream/x");
    private final ReceivedRequest first = bed.link.last();

    @Test
    void resumesElsewhereWhenATargetSendsOnlyComments() {
        sendFirstEvents();

        sendWhileWaiting(": still there\n\n");

        assertResumedAfterEvent(3);
    }

    @Test
    void resumesElsewhereWhenATargetSendsAnEventThatNeverEnds() {
        sendFirstEvents();
        first.sendRaw("id: 4\ndata: ");

        sendWhileWaiting("x");

        assertResumedAfterEvent(3);
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 4));
    }

    @Test
    void resumesElsewhereWhenATargetRepeatsAnEarlierEvent() {
        sendFirstEvents();

        sendWhileWaiting("id: 2\ndata: t2\n\n");

        assertResumedAfterEvent(3);
    }

    @Test
    void keepsASlowStreamWhoseEventsKeepComing() {
        first.startStream();
        for (int event = 1; event <= 20; event++) {
            first.sendEvents(event, event);
            advance(SLOW_GAP_MS);
        }
        first.endStream();

        assertThat(bed.link.received).hasSize(1);
        assertThat(reply.complete).isTrue();
    }

    @Test
    void keepsAStalledStreamWhileNoOtherTargetCanRunIt() {
        for (String target : List.of("east-low", "west-low")) {
            if (!first.dispatch.target().id().equals(target)) {
                bed.registry.find(target).get().avoid(20_000);
            }
        }
        sendFirstEvents();
        sendWhileWaiting(": still there\n\n");
        first.sendEvents(4, 5);
        first.endStream();

        assertThat(first.cancelled).isFalse();
        assertThat(reply.events.toString()).contains(RecordedReply.streamText(4, 5));
        assertThat(reply.complete).isTrue();
    }

    private void sendFirstEvents() {
        first.startStream();
        first.sendEvents(1, 3);
    }

    /** Lets the time pass for which a caller waits, in which the target sends the text again and again. */
    private void sendWhileWaiting(String text) {
        for (long waited = 0; waited < CALLER_PATIENCE_MS; waited += BUSY_GAP_MS) {
            bed.timers.advance(BUSY_GAP_MS);
            if (!first.cancelled) {
                first.sendRaw(text);
            }
        }
    }

    private void advance(long millis) {
        for (long waited = 0; waited < millis; waited += BUSY_GAP_MS) {
            bed.timers.advance(BUSY_GAP_MS);
        }
    }

    /** Asserts that the stream goes on elsewhere, and that the stalled run ends as soon as it does. */
    private void assertResumedAfterEvent(long event) {
        assertThat(bed.link.received).hasSize(2);
        assertThat(bed.link.last().dispatch.lastEventId()).isEqualTo(event);
        assertThat(bed.link.last().dispatch.target().id())
                .isNotEqualTo(first.dispatch.target().id());
        bed.link.last().startStream();
        bed.link.last().sendEvents(event + 1, event + 1);
        assertThat(first.cancelled).isTrue();
        assertThat(reply.events.toString()).contains(RecordedReply.streamText(event + 1, event + 1));
    }
}
