package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeTargetLink.ReceivedRequest;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.fakes.RecordedReply;

/**
 * Random shortages: whatever targets refuse, lose or have no room for, no caller waits in the queue beyond its useful time,
 * none is told to return after its time, and places in the queue follow from urgency and time left alone.
 */
class RandomWaitingTest {
    private static final int SEEDS = 40;
    private static final int STEPS = 400;
    private static final long STEP_MS = 20;
    /** Interval at which the queue is served, and a rounding of times. */
    private static final long TOLERANCE_MS = 12;
    /** Callers of streams of the test bed leave after this time without an event. */
    private static final long STREAM_PATIENCE_MS = 2_000;

    private static final long ROUTE_TIMEOUT_MS = 800;

    private static final class Caller {
        private final RecordedReply reply = new RecordedReply();
        private final String requestId;
        private final String path;
        private final long arrivedAt;
        private final long timeBudgetMillis;
        private long lastEventAt;
        private int seenLength;
        private boolean ended;

        Caller(IncomingRequest request, long arrivedAt, long timeBudgetMillis) {
            this.requestId = request.id();
            this.path = request.path();
            this.arrivedAt = arrivedAt;
            this.lastEventAt = arrivedAt;
            this.timeBudgetMillis = timeBudgetMillis;
        }

        long leavesAt() {
            return path.startsWith("/stream")
                    ? Math.min(lastEventAt + STREAM_PATIENCE_MS, arrivedAt + timeBudgetMillis)
                    : arrivedAt + Math.min(timeBudgetMillis, ROUTE_TIMEOUT_MS);
        }
    }

    @Test
    void keepsNoCallerWaitingBeyondItsTimeAndTellsNoneToReturnAfterIt() {
        for (int seed = 0; seed < SEEDS; seed++) {
            runShortage(seed);
        }
    }

    private void runShortage(int seed) {
        Random random = new Random(seed);
        ForwardingTestBed bed = new ForwardingTestBed();
        List<Caller> callers = new ArrayList<>();
        Set<ReceivedRequest> ended = new HashSet<>();
        for (int step = 0; step < STEPS; step++) {
            for (int arrivals = random.nextInt(4); arrivals > 0; arrivals--) {
                callers.add(arrive(bed, random));
            }
            disturb(bed, random);
            for (ReceivedRequest received : List.copyOf(bed.link.received)) {
                answer(received, random, ended);
            }
            bed.timers.advance(STEP_MS);
            bed.renewProof();
            bed.link.received.removeIf(r -> r.cancelled || ended.contains(r));
            callers.forEach(c -> check(seed, bed, c, ended));
            callers.removeIf(c -> !c.reply.isOpen());
        }
    }

    private static Caller arrive(ForwardingTestBed bed, Random random) {
        String path = List.of("/stream/x", "/stream/x", "/safe/x", "/unsafe/x").get(random.nextInt(4));
        long timeBudget = path.startsWith("/stream") ? 1_000 + random.nextInt(19_000) : 100 + random.nextInt(1_500);
        IncomingRequest request = bed.request(path, ForwardingTestBed.KEY, timeBudget);
        Caller caller = new Caller(request, bed.timers.nowMillis(), timeBudget);
        bed.forwarder.onRequest(request, caller.reply);
        return caller;
    }

    private static void disturb(ForwardingTestBed bed, Random random) {
        if (random.nextInt(10) == 0) {
            String target = List.of("p0", "p1", "p2", "east-low", "west-low", "east-high", "west-high")
                    .get(random.nextInt(7));
            bed.registry.find(target).orElseThrow().avoid(random.nextInt(1_500));
        }
    }

    private static void answer(ReceivedRequest received, Random random, Set<ReceivedRequest> ended) {
        if (received.cancelled || ended.contains(received)) {
            return;
        }
        int chance = random.nextInt(20);
        boolean isStream = received.dispatch.path() != null;
        if (chance == 0 && !received.ran) {
            ended.add(received);
            received.respondNotRun(503);
        } else if (chance == 1) {
            ended.add(received);
            received.fail(LinkFailure.BROKEN);
        } else if (chance == 2 && isStream && received.ran) {
            ended.add(received);
            received.endStream();
        } else if (chance < 8 && isStream) {
            writeEvent(received);
        } else if (chance < 8) {
            ended.add(received);
            received.respond(200);
        }
    }

    /** Writes the first event of a run, or the next one; the id is not that of an earlier event in any case. */
    private static void writeEvent(ReceivedRequest received) {
        if (!received.ran) {
            received.startStream();
            received.written = received.dispatch.lastEventId();
        }
        received.written++;
        received.sendEvents(received.written, received.written);
    }

    private static void check(int seed, ForwardingTestBed bed, Caller caller, Set<ReceivedRequest> ended) {
        long now = bed.timers.nowMillis();
        RecordedReply reply = caller.reply;
        if (reply.events.length() > caller.seenLength) {
            caller.seenLength = reply.events.length();
            caller.lastEventAt = now;
        }
        boolean isRunning = bed.link.received.stream()
                .anyMatch(
                        r -> r.dispatch.request().id().equals(caller.requestId) && !r.cancelled && !ended.contains(r));
        if (reply.isOpen() && !isRunning) {
            assertWithMessage("seed %s: a caller of %s still waits", seed, caller.path)
                    .that(now)
                    .isAtMost(caller.leavesAt() + TOLERANCE_MS + STEP_MS);
        }
        if (!caller.ended && reply.refusal != null) {
            caller.ended = true;
            long left = caller.arrivedAt + caller.timeBudgetMillis - now;
            assertWithMessage("seed %s: return of a caller of %s", seed, caller.path)
                    .that(reply.refusal.retryAfterMillis())
                    .isAtMost(Math.max(1, left + STEP_MS) / 3 + 1);
        }
    }

    // Guards against places that depend on anything but urgency and the time left, as the number of sends.
    @Test
    void servesWaitingRequestsByUrgencyAndTimeLeftInWhateverOrderTheyCame() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            ManualTimers timers = new ManualTimers();
            RequestQueue queue = new RequestQueue(timers);
            boolean[] room = new boolean[1];
            List<RankedWaiter> served = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                queue.add(new RankedWaiter(random.nextInt(3), 1_000 + random.nextInt(5_000), room, served));
            }
            room[0] = true;
            timers.advance(TOLERANCE_MS);

            assertWithMessage("seed %s", seed).that(served).hasSize(30);
            for (int i = 1; i < served.size(); i++) {
                RankedWaiter before = served.get(i - 1);
                RankedWaiter after = served.get(i);
                boolean inOrder = before.priority() < after.priority()
                        || (before.priority() == after.priority() && before.latestSendAt() <= after.latestSendAt());
                assertWithMessage("seed %s", seed).that(inOrder).isTrue();
            }
        }
    }

    private record RankedWaiter(int priority, long latestSendAt, boolean[] room, List<RankedWaiter> served)
            implements RequestQueue.Waiter {
        @Override
        public boolean trySend() {
            if (room[0]) {
                served.add(this);
            }
            return room[0];
        }

        @Override
        public void onExpired() {}
    }
}
