package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.forwarding.Forwarder.RequestHandle;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.TimelineEvent;

/** Tests that the events name each request that is cut, and say why. */
class CutRequestTest {
    private final ForwardingTestBed bed = new ForwardingTestBed();

    // Guards against records of a planned stop in which no line names the requests that were cut.
    @Test
    void namesARequestThatIsCutWhenTheDaemonStops() {
        long endsAt = bed.timers.nowMillis() + 20_000;
        bed.forwarder.drainUntil(endsAt);
        bed.timers.advance(100);
        bed.send("/stream/x");
        ReceivedRequest sent = bed.link.last();
        sent.startStream();
        sent.sendEvents(1, 3);
        bed.timers.advance(300);
        bed.forwarder.terminateAll("stopped");

        Map<String, String> cut = onlyCut();
        assertThat(cut).containsEntry("request", sent.dispatch.request().id());
        assertThat(cut).containsEntry("cause", "DAEMON_STOPPED");
        assertThat(cut).containsEntry("reason", "stopped");
        assertThat(cut).containsEntry("target", sent.dispatch.target().instanceId());
        assertThat(cut).containsEntry("draining", "true");
        assertThat(cut).containsEntry("drainMs", "400");
        assertThat(cut).containsEntry("leftMs", "19600");
        assertThat(cut).containsEntry("lastEvent", "3");
        assertThat(cut).containsEntry("tookMs", "300");
        assertThat(cut).containsEntry("acceptedAtDrainMs", "100");
        assertThat(cut).containsEntry("acceptedLeftMs", "19900");
        assertThat(cut).containsEntry("estimateBy", "OBJECTIVE");
        assertThat(Long.parseLong(cut.get("estimateMs"))).isAtMost(19_900);
        assertThat(events(EventKind.REQUEST_ADMITTED).get(0)).containsEntry("estimateMs", cut.get("estimateMs"));
        assertThat(bed.forwarder.counters().get(Count.CUT)).isEqualTo(1);
        assertThat(bed.forwarder.counters().get(Count.CUT_BY_STOP)).isEqualTo(1);
    }

    // Guards against taking a request that its targets broke off for one that the stop cut.
    @Test
    void tellsARequestThatItsTargetsBrokeOffFromOneThatTheStopCut() {
        bed.send("/unsafe/x");
        bed.link.last().fail(LinkFailure.BROKEN);

        Map<String, String> cut = onlyCut();
        assertThat(cut).containsEntry("cause", "TARGETS_FAILED");
        assertThat(cut).containsEntry("draining", "false");
        assertThat(cut).containsEntry("drainMs", "-1");
        assertThat(cut).containsEntry("status", "502");
        assertThat(cut).doesNotContainKey("estimateMs");
        assertThat(bed.forwarder.counters().get(Count.CUT_BY_STOP)).isEqualTo(0);
    }

    @Test
    void namesARequestWhoseTimeIsUsedUp() {
        bed.send("/unsafe/x");
        bed.timers.advance(1_000);

        assertThat(onlyCut()).containsEntry("cause", "TIMED_OUT");
    }

    @Test
    void namesNoRequestThatIsAnsweredOrRefusedOrWhoseCallerLeft() {
        bed.send("/safe/x");
        bed.link.last().respond(200);
        bed.send("/unsafe/x");
        bed.link.last().respond(500);
        RequestHandle handle = bed.forwarder.onRequest(bed.request("/unsafe/y"), new RecordedReply());
        handle.onCallerDisconnected();
        bed.send("/unsafe/z");
        bed.link.last().respondNotRun(503);

        assertWithMessage("events").that(events(EventKind.REQUEST_CUT)).isEmpty();
        assertThat(bed.forwarder.counters().get(Count.CUT)).isEqualTo(0);
    }

    // Guards against a request that this daemon's own limit cuts, and whose event says that the caller left.
    @Test
    void namesARequestWhoseConnectionThisDaemonClosed() {
        RequestHandle handle = bed.forwarder.onRequest(bed.request("/unsafe/y"), new RecordedReply());

        handle.onConnectionClosed("too many pipelined requests");

        Map<String, String> cut = onlyCut();
        assertThat(cut).containsEntry("cause", "CONNECTION_CLOSED");
        assertThat(cut).containsEntry("reason", "connection closed by this daemon: too many pipelined requests");
        assertThat(bed.forwarder.counters().get(Count.CALLER_LEFT)).isEqualTo(0);
    }

    private Map<String, String> onlyCut() {
        List<Map<String, String>> cut = events(EventKind.REQUEST_CUT);
        assertThat(cut).hasSize(1);
        return cut.get(0);
    }

    private List<Map<String, String>> events(EventKind kind) {
        return bed.timeline.list(event -> event.kind() == kind).stream()
                .map(TimelineEvent::fields)
                .toList();
    }
}
