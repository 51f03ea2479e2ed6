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
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;
import org.siskinlead.core.serving.RequestOutcome;

/**
 * Random runs of one daemon before faulty targets, judged by what its callers and the targets see. Another set of runs is
 * asked for with {@code -Dschedules=N -Dseed=S}.
 */
class RandomForwardingTest {
    private static final long SEED = Long.getLong("seed", 0);
    private static final int REQUESTS = 60;
    private static final int LOAD_MS = 10_000;
    /** The longest timeout of a route, and time for what it ends. */
    private static final int REST_MS = 22_000;

    private static final int STEP_MS = 10;
    private static final int PROOF_MS = 1_000;
    /** Time within which work ends whose caller has left, by the users' rules. */
    private static final int GONE_MS = 500;

    private static final int MOST_TARGETS = 2;
    private static final String[] TARGETS = {"p0", "p1", "p2", "east-low", "east-high", "west-low", "west-high"};

    @Property(seed = "20261204", edgeCases = EdgeCasesMode.NONE, generation = GenerationMode.RANDOMIZED)
    void keepsEveryPromise(@ForAll("seeds") long seed) {
        Run run = new Run(new Random(seed ^ SEED));
        run.play();

        assertWithMessage("violations").that(run.violations).isEmpty();
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs().between(0, 1_000_000_000);
    }

    /** A request and what its caller saw. */
    private static final class Asked {
        private final IncomingRequest request;
        private final RecordedReply reply = new RecordedReply();
        private final String path;
        private boolean refusable;
        /** Whether a proof was fresh at a moment since it came: its key is checked then, and it may wait for room after that. */
        private boolean checked;

        private long leftAt = Long.MAX_VALUE;

        Asked(IncomingRequest request, String path) {
            this.request = request;
            this.path = path;
        }
    }

    private static final class Run {
        private final Random random;
        private final ForwardingTestBed bed = new ForwardingTestBed();
        private final FaultyTargets targets;
        private final List<Asked> asked = new ArrayList<>();
        private final Set<String> violations = new HashSet<>();
        private final long storeAwayFrom;
        private final long storeAwayTo;
        private final long revokedAt;
        private boolean revoked;
        private long beganAt;

        Run(Random random) {
            this.random = random;
            this.targets = new FaultyTargets(bed.link, bed.timers, random, random.nextDouble() * 0.6);
            this.storeAwayFrom = random.nextInt(3) == 0 ? random.nextInt(LOAD_MS) : Long.MAX_VALUE;
            this.storeAwayTo = storeAwayFrom == Long.MAX_VALUE ? 0 : storeAwayFrom + 1_000 + random.nextInt(8_000);
            this.revokedAt = random.nextInt(5) == 0 ? random.nextInt(LOAD_MS) : Long.MAX_VALUE;
        }

        void play() {
            beganAt = bed.timers.nowMillis();
            for (int i = 0; i < REQUESTS; i++) {
                bed.timers.after(random.nextInt(LOAD_MS), this::ask);
            }
            for (int i = random.nextInt(4); i > 0; i--) {
                String target = TARGETS[random.nextInt(TARGETS.length)];
                boolean breaks = random.nextBoolean();
                long forMillis = 100 + random.nextInt(4_000);
                bed.timers.after(random.nextInt(LOAD_MS), () -> targets.startOutage(target, breaks, forMillis));
            }
            for (long at = 0; at < LOAD_MS + REST_MS; at += STEP_MS) {
                prove(at);
                bed.timers.advance(STEP_MS);
                if (bed.freshness.isFresh()) {
                    asked.forEach(each -> each.checked = true);
                }
                targets.startReceived().forEach(this::onSent);
                asked.forEach(this::lookAtOneWhoLeft);
            }
            asked.forEach(this::judge);
            check(bed.forwarder.inFlight() == 0, bed.forwarder.inFlight() + " requests never ended");
        }

        private void prove(long at) {
            if (at >= revokedAt && !revoked) {
                revoked = true;
                bed.forwarder.onCatalog(ForwardingTestBed.catalog(2, Set.of("another")));
            }
            boolean storeAway = at >= storeAwayFrom && at < storeAwayTo;
            if (at % PROOF_MS == 0 && !storeAway) {
                bed.renewProof();
            }
        }

        private void ask() {
            String path =
                    List.of("/stream/x", "/stream/y", "/safe/x", "/unsafe/x").get(random.nextInt(4));
            Asked next = new Asked(bed.request(path), path);
            next.refusable = revoked;
            next.checked = bed.freshness.isFresh();
            asked.add(next);
            Forwarder.Ticket ticket = bed.forwarder.onRequest(next.request, next.reply);
            if (random.nextInt(10) == 0) {
                bed.timers.after(random.nextInt(1_000), () -> {
                    next.leftAt = bed.timers.nowMillis();
                    ticket.callerLeft();
                });
            }
        }

        private void onSent(FaultyTargets.Execution work) {
            String id = work.request.dispatch.request().id();
            boolean first = targets.executionsOf(id).size() == 1;
            Asked request = find(id);
            check(!first || request.checked, id + " was sent though no proof was fresh since it came");
            check(!request.refusable, id + " was sent though its key had been taken away");
            check(request.reply.isOpen() || work.request.cancelled, id + " was sent after its end");
        }

        /** The work of a caller who left ends. */
        private void lookAtOneWhoLeft(Asked each) {
            long now = bed.timers.nowMillis();
            if (now >= each.leftAt + GONE_MS && now < each.leftAt + GONE_MS + STEP_MS) {
                for (FaultyTargets.Execution work : targets.executionsOf(each.request.id())) {
                    check(
                            work.ended || work.request.cancelled,
                            each.request.id() + " is still at work after its caller left");
                }
            }
        }

        private void judge(Asked each) {
            String id = each.request.id() + " " + each.path;
            List<FaultyTargets.Execution> works = targets.executionsOf(each.request.id());
            List<FaultyTargets.Execution> ran =
                    works.stream().filter(w -> w.ran).toList();
            boolean left = each.leftAt != Long.MAX_VALUE;
            check(left || !each.reply.isOpen(), id + " has no outcome");
            for (FaultyTargets.Execution work : works) {
                check(work.ended || work.request.cancelled, id + " left work at " + work.target);
            }
            boolean saysNotRun = each.reply.refusal != null && each.reply.refusal.outcome() == RequestOutcome.NOT_RUN;
            check(!saysNotRun || ran.isEmpty(), id + " was refused as not run but ran");
            if (each.path.startsWith("/unsafe")) {
                check(ran.size() <= 1, id + " ran " + ran.size() + " times");
            }
            Set<String> sound = new HashSet<>();
            ran.stream().filter(w -> !targets.hadOutage(w.target)).forEach(w -> sound.add(w.target));
            check(sound.size() <= MOST_TARGETS, id + " ran on " + sound);
            if (each.path.startsWith("/stream")) {
                judgeStream(id, each.reply);
            }
        }

        private void judgeStream(String id, RecordedReply reply) {
            String whole = RecordedReply.streamText(1, FaultyTargets.EVENTS_PER_STREAM);
            String events = reply.events.toString();
            check(whole.startsWith(events), id + " got " + events.replace('\n', ' '));
            check(!reply.complete || events.equals(whole), id + " ended as complete after " + events.length());
        }

        private Asked find(String id) {
            return asked.stream()
                    .filter(a -> a.request.id().equals(id))
                    .findFirst()
                    .orElseThrow();
        }

        private void check(boolean holds, String message) {
            if (!holds) {
                violations.add(message + " (from " + beganAt + ")");
            }
        }
    }
}
