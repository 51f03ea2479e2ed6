package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.routing.LayerRange;

/** Tests that a stream which has begun goes on after its path was cut, also when targets refuse to resume it at first. */
class ResumedStreamTest {
    private static final int MAX_ATTEMPTS = 2;
    /** Callers leave after eight times the gap objective, four times the latency objective, or this time. */
    private static final long CALLER_PATIENCE_MS = 2_000;

    private static final long TIME_TO_FIRST_EVENT_MS = 200;

    private final ForwardingTestBed bed = new ForwardingTestBed();

    // Guards against streams that are cut because a target refused them, without running them, before they began.
    @Test
    void doesNotCountATargetThatRefusedTheStream() {
        RecordedReply reply = bed.send("/stream/x");
        bed.link.last().respondNotRun(503);
        begin(bed.link.last(), 5);
        bed.timers.advance(400);
        bed.link.last().fail(LinkFailure.BROKEN);

        finish(6, 9);
        assertThat(reply.complete).isTrue();
        assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 9));
    }

    // Guards against streams that are cut because the target at which they are resumed has no room at that moment.
    @Test
    void waitsForRoomWhenTheTargetThatShouldResumeItRefuses() {
        RecordedReply reply = bed.send("/stream/x");
        begin(bed.link.last(), 5);
        bed.link.last().fail(LinkFailure.BROKEN);
        for (int refusals = 0; refusals < 3; refusals++) {
            bed.link.last().respondNotRun(503);
            bed.timers.advance(400);
        }

        assertThat(reply.isOpen()).isTrue();
        finish(6, 9);
        assertThat(reply.complete).isTrue();
    }

    // Guards against streams that are cut when a later target of their path has left and no other first one has room.
    @Test
    void resumesAtTheSameTargetOverOtherEngines() {
        bed.registry.unregister("west-low");
        RecordedReply reply = bed.send("/stream/x");
        ReceivedRequest first = bed.link.last();
        begin(first, 5);
        bed.registry.unregister(
                first.dispatch.path().hops().get(1).target().entry().id());
        first.fail(LinkFailure.BROKEN);

        assertThat(bed.link.last().dispatch.target().id()).isEqualTo("east-low");
        finish(6, 9);
        assertThat(reply.complete).isTrue();
    }

    // Guards against streams that run on more targets than allowed after refusals: only those that may run it count.
    @Test
    void runsAtNoMoreTargetsThanAllowedHoweverManyRefuse() {
        bed.registry.register(Fleets.engine("north-low", "north", "h100", new LayerRange(0, 40)));
        bed.registry.register(Fleets.engine("north-high", "north", "h100", new LayerRange(40, 80)));
        RecordedReply reply = bed.send("/stream/x");
        long events = 0;
        while (reply.isOpen() && events < 40) {
            begin(bed.link.last(), events, events + 2);
            events += 2;
            loseLaterEngine(bed.link.last(), "spare-" + events);
            bed.timers.advance(20);
            bed.link.last().respondNotRun(503);
            bed.timers.advance(400);
        }

        long ran = bed.link.received.stream()
                .filter(r -> r.ran)
                .map(r -> r.dispatch.target().instanceId())
                .distinct()
                .count();
        assertThat(ran).isAtMost(MAX_ATTEMPTS);
        assertThat(events).isAtLeast(6L);
    }

    // Guards against streams that are cut because the last target that they may use seems to be down for a moment.
    @Test
    void waitsForATargetThatWasSilentForAMoment() {
        bed.registry.find("west-low").orElseThrow().avoid(10);
        RecordedReply reply = bed.send("/stream/x");
        begin(bed.link.last(), 0, 2);
        bed.timers.advance(20);
        bed.registry.find("east-low").orElseThrow().avoid(10);
        loseLaterEngine(bed.link.last(), "spare");
        begin(bed.link.last(), 2, 4);
        bed.registry.unregister("east-low");
        bed.registry.register(Fleets.engine("west-spare", "west", "h100", new LayerRange(40, 80)));
        assertThat(bed.link.last().dispatch.target().id()).isEqualTo("west-low");
        String later =
                bed.link.last().dispatch.path().hops().get(1).target().entry().instanceId();
        bed.forwarder.onDownNotice("west-low@1", List.of());
        bed.forwarder.onDownNotice(later, List.of("another request"));

        assertThat(reply.isOpen()).isTrue();
        bed.registry.find("west-low").orElseThrow().clearDown();
        bed.timers.advance(20);
        finish(5, 9);
        assertThat(reply.complete).isTrue();
    }

    // Guards against streams that are cut because planned ends of targets are taken for crashes that they have caused.
    @Test
    void isNotSuspectedOfTheEndOfTargetsThatLeftAsAnnounced() {
        RecordedReply reply = bed.send("/stream/x");
        for (int left = 0; left < 3; left++) {
            ReceivedRequest sent = bed.link.last();
            begin(sent, 2 * left, 2 * left + 2);
            RegisteredTarget later = sent.dispatch.path().hops().get(1).target().entry();
            bed.registry.register(Fleets.engine("spare-" + left, later.dataCentre(), "h100", new LayerRange(40, 80)));
            bed.registry.onLeaving(bed.registry.find(later.id()).orElseThrow());
            bed.link.healthByTarget.put(later.id(), TargetLink.Health.CRASHED);
            bed.timers.advance(400);
            assertThat(bed.link.last()).isNotSameInstanceAs(sent);
        }

        finish(7, 9);
        assertThat(reply.complete).isTrue();
    }

    // Guards against the text of an error in the middle of a stream, and against a stream that ends there.
    @Test
    void goesOnElsewhereWhenTheTargetThatShouldResumeItAnswersWithAnError() {
        for (int status : new int[] {400, 404, 429, 500, 504}) {
            RecordedReply reply = bed.send("/stream/" + status);
            ReceivedRequest first = bed.link.last();
            begin(first, 5);
            loseLaterEngine(first, "spare-" + status);
            ReceivedRequest failed = bed.link.last();
            failed.respond(status);
            bed.timers.advance(20);

            assertThat(bed.link.last().dispatch.target().id())
                    .isNotEqualTo(failed.dispatch.target().id());
            finish(6, 9);
            assertThat(reply.events.toString()).isEqualTo(RecordedReply.streamText(1, 9));
            assertThat(reply.complete).isTrue();
        }
    }

    // Guards against callers that are never told, and leave at their own limit instead of going on elsewhere in time.
    @Test
    void endsAStreamOnceNoEventCanReachItsCallerInTime() {
        RecordedReply reply = bed.send("/stream/x");
        bed.timers.advance(TIME_TO_FIRST_EVENT_MS);
        begin(bed.link.last(), 5);
        long lastEventAt = bed.timers.nowMillis();
        bed.link.last().fail(LinkFailure.BROKEN);
        int refused = 1;
        while (reply.isOpen() && bed.timers.nowMillis() < lastEventAt + 2 * CALLER_PATIENCE_MS) {
            if (bed.link.received.size() > refused) {
                refused = bed.link.received.size();
                bed.link.last().respondNotRun(503);
            }
            bed.timers.advance(5);
        }

        assertThat(reply.aborted).isTrue();
        long waitedMillis = bed.timers.nowMillis() - lastEventAt;
        assertThat(waitedMillis).isAtMost(CALLER_PATIENCE_MS - TIME_TO_FIRST_EVENT_MS);
        assertThat(waitedMillis).isAtLeast(CALLER_PATIENCE_MS - 3 * TIME_TO_FIRST_EVENT_MS);
    }

    // Guards against callers that wait for targets of which it is known that none accepts the stream in time.
    @Test
    void endsAStreamAtOnceThatNoTargetAcceptsInTime() {
        RecordedReply reply = bed.send("/stream/x");
        begin(bed.link.last(), 5);
        for (String target : new String[] {"east-low", "west-low"}) {
            bed.registry.find(target).orElseThrow().avoid(CALLER_PATIENCE_MS + 100);
        }
        bed.link.last().fail(LinkFailure.BROKEN);

        assertThat(reply.aborted).isTrue();
    }

    // Guards against callers that wait for a retry which the budget does not give in their time.
    @Test
    void endsAStreamAtOnceThatTheRetryBudgetDoesNotLetResumeInTime() {
        boolean exhausted = false;
        for (int i = 0; i < 200 && !exhausted; i++) {
            RecordedReply reply = bed.send("/stream/x" + i);
            begin(bed.link.last(), 5);
            int sent = bed.link.received.size();
            bed.link.last().fail(LinkFailure.BROKEN);
            exhausted = bed.link.received.size() == sent;
            if (exhausted) {
                assertThat(reply.aborted).isTrue();
            } else {
                finish(6, 9);
            }
        }

        assertThat(exhausted).isTrue();
    }

    /** Lets the later engine of a path leave, which cuts its streams, after another one has taken its place. */
    private void loseLaterEngine(ReceivedRequest sent, String replacement) {
        RegisteredTarget left = sent.dispatch.path().hops().get(1).target().entry();
        bed.registry.register(Fleets.engine(replacement, left.dataCentre(), "h100", new LayerRange(40, 80)));
        bed.registry.unregister(left.id());
        sent.fail(LinkFailure.BROKEN);
    }

    private static void begin(ReceivedRequest sent, long events) {
        begin(sent, 0, events);
    }

    private static void begin(ReceivedRequest sent, long after, long events) {
        sent.startStream();
        sent.sendEvents(after + 1, events);
    }

    private void finish(long from, long to) {
        bed.link.last().startStream();
        bed.link.last().sendEvents(from, to);
        bed.link.last().endStream();
    }
}
