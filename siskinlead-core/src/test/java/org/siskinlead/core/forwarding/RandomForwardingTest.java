package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.siskinlead.core.fakes.FaultyTargets;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.serving.RequestOutcome;

/**
 * Simulates one daemon with faulty targets, store outages, revoked keys and disconnecting callers, and checks what
 * callers and targets observe. {@code -Dschedules=N -Dseed=S} selects the number of runs and another set of them.
 */
class RandomForwardingTest {
    private static final long SEED = Long.getLong("seed", 0);
    private static final int REQUESTS = 60;
    private static final int SHARED_PARTS = 3;
    private static final int LOAD_MS = 10_000;
    /** Longest route timeout, plus time for the cancellations at its end. */
    private static final int SETTLE_MS = 22_000;

    private static final int STEP_MS = 10;
    private static final int PROOF_INTERVAL_MS = 1_000;
    /** Time allowed between a caller's disconnection and the end of work at the targets, by the users' requirements. */
    private static final int CANCEL_MS = 500;

    private static final int MAX_TARGETS_PER_REQUEST = 2;
    private static final String[] TARGETS = {
        "p0", "p1", "p2", "east-low", "east-high", "west-low", "west-high", "north-low", "north-high"
    };

    @Property(seed = "20261204", edgeCases = EdgeCasesMode.NONE, generation = GenerationMode.RANDOMIZED)
    void holdsEveryInvariant(@ForAll("seeds") long seed) {
        Run run = new Run(new Random(seed ^ SEED));
        run.execute();

        assertWithMessage("violations").that(run.violations).isEmpty();
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs().between(0, 1_000_000_000);
    }

    /** A request and what its caller received. */
    private static final class SentRequest {
        private final IncomingRequest request;
        private final RecordedReply reply = new RecordedReply();
        private final String path;
        private boolean keyRevoked;
        /** Whether a proof was fresh at any time since receipt. The key is checked then; queuing may follow. */
        private boolean proofSeen;

        private long disconnectedAt = Long.MAX_VALUE;

        SentRequest(IncomingRequest request, String path) {
            this.request = request;
            this.path = path;
        }
    }

    private static final class Run {
        private final Random random;
        private final ForwardingTestBed bed = new ForwardingTestBed();
        private final FaultyTargets targets;
        private final List<SentRequest> sentRequests = new ArrayList<>();
        private final Set<String> violations = new HashSet<>();
        private final long storeOutageStart;
        private final long storeOutageEnd;
        private final long revokedAt;
        private boolean revoked;
        private long startedAt;

        Run(Random random) {
            this.random = random;
            this.targets = new FaultyTargets(bed.link, bed.timers, random, random.nextDouble() * 0.6);
            this.storeOutageStart = random.nextInt(3) == 0 ? random.nextInt(LOAD_MS) : Long.MAX_VALUE;
            this.storeOutageEnd =
                    storeOutageStart == Long.MAX_VALUE ? 0 : storeOutageStart + 1_000 + random.nextInt(8_000);
            this.revokedAt = random.nextInt(5) == 0 ? random.nextInt(LOAD_MS) : Long.MAX_VALUE;
        }

        void execute() {
            startedAt = bed.timers.nowMillis();
            bed.registry.register(Fleets.engine("north-low", "north", "h100", new LayerRange(0, 40)));
            bed.registry.register(Fleets.engine("north-high", "north", "h100", new LayerRange(40, 80)));
            for (int i = 0; i < REQUESTS; i++) {
                bed.timers.after(random.nextInt(LOAD_MS), this::sendRequest);
            }
            for (int i = random.nextInt(4); i > 0; i--) {
                String target = TARGETS[random.nextInt(TARGETS.length)];
                boolean breaksConnections = random.nextBoolean();
                long durationMillis = 100 + random.nextInt(4_000);
                bed.timers.after(
                        random.nextInt(LOAD_MS), () -> targets.startOutage(target, breaksConnections, durationMillis));
            }
            for (int i = random.nextInt(4); i > 0; i--) {
                String target = TARGETS[random.nextInt(TARGETS.length)];
                long durationMillis = 100 + random.nextInt(4_000);
                bed.timers.after(random.nextInt(LOAD_MS), () -> removeEntry(target, durationMillis));
            }
            for (long at = 0; at < LOAD_MS + SETTLE_MS; at += STEP_MS) {
                renewProofOrRevokeKey(at);
                bed.timers.advance(STEP_MS);
                if (bed.freshness.isFresh()) {
                    sentRequests.forEach(each -> each.proofSeen = true);
                }
                targets.startReceived().forEach(this::onSent);
                sentRequests.forEach(this::checkDisconnected);
            }
            sentRequests.forEach(this::verify);
            check(bed.forwarder.inFlight() == 0, bed.forwarder.inFlight() + " requests never ended");
        }

        /** Removes the entry of a target that runs on, as after the loss of its connection to the store. */
        private void removeEntry(String target, long durationMillis) {
            bed.registry.find(target).ifPresent(known -> {
                bed.registry.unregister(target);
                bed.timers.after(durationMillis, () -> bed.registry.register(known.entry()));
            });
        }

        private void renewProofOrRevokeKey(long at) {
            if (at >= revokedAt && !revoked) {
                revoked = true;
                bed.forwarder.onCatalog(ForwardingTestBed.catalog(2, Set.of("another")));
            }
            boolean inStoreOutage = at >= storeOutageStart && at < storeOutageEnd;
            if (at % PROOF_INTERVAL_MS == 0 && !inStoreOutage) {
                bed.renewProof();
            }
        }

        private void sendRequest() {
            String path =
                    List.of("/stream/x", "/stream/y", "/safe/x", "/unsafe/x").get(random.nextInt(4));
            IncomingRequest request = path.startsWith("/stream") && random.nextBoolean()
                    ? bed.requestWithPart(path, "part" + random.nextInt(SHARED_PARTS))
                    : bed.request(path);
            SentRequest next = new SentRequest(request, path);
            next.keyRevoked = revoked;
            next.proofSeen = bed.freshness.isFresh();
            sentRequests.add(next);
            Forwarder.RequestHandle handle = bed.forwarder.onRequest(next.request, next.reply);
            if (random.nextInt(10) == 0) {
                bed.timers.after(random.nextInt(1_000), () -> {
                    next.disconnectedAt = bed.timers.nowMillis();
                    handle.onCallerDisconnected();
                });
            }
        }

        private void onSent(FaultyTargets.Execution execution) {
            String id = execution.request.dispatch.request().id();
            boolean first = targets.executionsOf(id).size() == 1;
            SentRequest request = find(id);
            check(!first || request.proofSeen, id + " was sent without a fresh proof since it was received");
            check(!request.keyRevoked, id + " was sent although its key had been revoked");
            check(request.reply.isOpen() || execution.request.cancelled, id + " was sent after it had ended");
        }

        /** Checks that the work for a disconnected caller has ended. */
        private void checkDisconnected(SentRequest each) {
            long now = bed.timers.nowMillis();
            if (now >= each.disconnectedAt + CANCEL_MS && now < each.disconnectedAt + CANCEL_MS + STEP_MS) {
                for (FaultyTargets.Execution execution : targets.executionsOf(each.request.id())) {
                    check(
                            execution.ended || execution.request.cancelled,
                            each.request.id() + " still runs after its caller disconnected");
                }
            }
        }

        private void verify(SentRequest each) {
            String id = each.request.id() + " " + each.path;
            List<FaultyTargets.Execution> executions = targets.executionsOf(each.request.id());
            List<FaultyTargets.Execution> ran =
                    executions.stream().filter(w -> w.ran).toList();
            boolean disconnected = each.disconnectedAt != Long.MAX_VALUE;
            check(disconnected || !each.reply.isOpen(), id + " has no outcome");
            for (FaultyTargets.Execution execution : executions) {
                check(execution.ended || execution.request.cancelled, id + " still runs at " + execution.target);
            }
            boolean saysNotRun = each.reply.refusal != null && each.reply.refusal.outcome() == RequestOutcome.NOT_RUN;
            check(!saysNotRun || ran.isEmpty(), id + " was refused as not run but ran");
            if (each.path.startsWith("/unsafe")) {
                check(ran.size() <= 1, id + " ran " + ran.size() + " times");
            }
            // No target ends here: one with an outage, or without its entry, runs on and counts.
            Set<String> targetsRun = new HashSet<>();
            ran.forEach(w -> targetsRun.add(w.target));
            check(targetsRun.size() <= MAX_TARGETS_PER_REQUEST, id + " ran on " + targetsRun);
            if (each.path.startsWith("/stream")) {
                verifyStream(id, each.reply);
            }
        }

        private void verifyStream(String id, RecordedReply reply) {
            String expected = RecordedReply.streamText(1, FaultyTargets.EVENTS_PER_STREAM);
            String events = reply.events.toString();
            check(expected.startsWith(events), id + " got " + events.replace('\n', ' '));
            check(
                    !reply.complete || events.equals(expected),
                    id + " ended as complete; characters received: " + events.length());
        }

        private SentRequest find(String id) {
            return sentRequests.stream()
                    .filter(a -> a.request.id().equals(id))
                    .findFirst()
                    .orElseThrow();
        }

        private void check(boolean holds, String message) {
            if (!holds) {
                violations.add(message + " (run started at " + startedAt + " ms)");
            }
        }
    }
}
