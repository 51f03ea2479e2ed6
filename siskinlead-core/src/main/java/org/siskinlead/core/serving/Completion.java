package org.siskinlead.core.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.retry.CrashGuard;
import org.siskinlead.core.routing.Chain;
import org.siskinlead.core.routing.Fleet;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.routing.Target;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.timeline.EventKind;

/**
 * Drives one completion token by token through a chain of targets. When a stage fails, the completion goes on with the
 * first token not yet delivered on another chain. Answers of abandoned attempts are dropped.
 */
final class Completion {
    private static final int MAX_ATTEMPTS = 5;
    /** Probes of a target whose connection broke, and the pause between them: an exiting process is gone within 100 ms. */
    private static final int PROBES = 5;

    private static final long PROBE_AGAIN_MS = 30;
    private static final long NO_CHAIN_RETRY_MS = 50;
    private static final long NO_CHAIN_WAIT_MS = 2_000;
    private static final long COME_BACK_MS = 1_000;
    /** Tokens that a suspect must generate from the one at which its target died, to be cleared. */
    private static final int TRIAL_TOKENS = 3;
    /** Lateness of a timer that shows that this process itself was paused. */
    private static final long PAUSE_MS = 500;

    private final CompletionRequest request;
    private final ModelVersion model;
    private final int priority;
    private final String fingerprint;
    private final ServingContext context;
    private final CompletionSink sink;
    private final Runnable onEnded;
    private final long deadline;
    private final List<String> delivered = new ArrayList<>();
    private @Nullable Chain chain;
    private int attempt;
    private int hop;
    private int nextLayer;
    private long chainWantedSince;
    private long lastSentAt;
    private long lastTimeout;
    private long lastTokenAt;
    private int attemptsWithoutToken;
    private int brokenAt = Integer.MIN_VALUE;
    private boolean mayHaveRun;
    private boolean ended;
    private @Nullable Timer deadlineTimer;

    Completion(
            CompletionRequest request,
            ModelVersion model,
            int priority,
            ServingContext context,
            CompletionSink sink,
            Runnable onEnded) {
        this.request = request;
        this.model = model;
        this.priority = priority;
        this.context = context;
        this.sink = sink;
        this.onEnded = onEnded;
        this.fingerprint = Fingerprint.of(request.team(), request.model(), request.prompt());
        this.deadline = context.timers().nowMillis() + request.deadlineMillis();
    }

    void start() {
        deadlineTimer = context.timers().after(request.deadlineMillis(), this::onDeadline);
        chainWantedSince = context.timers().nowMillis();
        lastTokenAt = chainWantedSince;
        beginAttempt();
    }

    /** Ends the completion because this daemon may no longer act. */
    void onStandingLost() {
        fail(RefusalCode.STANDING_LOST, "this daemon lost its standing");
    }

    private void beginAttempt() {
        if (ended) {
            return;
        }
        CrashGuard.Verdict verdict = context.guard().verdict(fingerprint);
        if (verdict == CrashGuard.Verdict.REFUSE) {
            fail(RefusalCode.TARGET_CRASHES, "targets died while they ran this request");
            return;
        }
        if (verdict == CrashGuard.Verdict.WAIT || !context.guard().tryBegin(fingerprint, request.id())) {
            context.timers().after(NO_CHAIN_RETRY_MS, this::beginAttempt);
            return;
        }
        long waited = context.timers().nowMillis() - chainWantedSince;
        Predicate<Target> usable = context.guard().deadTargets(fingerprint) == 0
                ? Fleet.ANY
                : target -> context.guard().mayUse(fingerprint, target.id(), waited);
        Optional<Chain> assigned = context.fleet().assign(model, usable);
        if (assigned.isEmpty()) {
            waitForChain();
            return;
        }
        startOn(assigned.get());
    }

    private void startOn(Chain assigned) {
        chain = assigned;
        attempt++;
        hop = 0;
        nextLayer = 0;
        context.guard()
                .begin(
                        fingerprint,
                        request.id(),
                        assigned.targets().stream().map(Target::identity).toList());
        assigned.targets().forEach(t -> context.guard().enter(fingerprint, t.id()));
        context.timeline()
                .record(
                        attempt == 1 ? EventKind.REQUEST_SENT : EventKind.REQUEST_RESUMED,
                        "request",
                        request.id(),
                        "attempt",
                        attempt,
                        "position",
                        delivered.size(),
                        "chain",
                        ids(assigned));
        send(true, fullContext());
    }

    private void waitForChain() {
        boolean waitsForTrial = context.guard().deadTargets(fingerprint) > 0;
        if (!waitsForTrial && context.timers().nowMillis() - chainWantedSince > NO_CHAIN_WAIT_MS) {
            fail(RefusalCode.NO_CHAIN, "no targets cover all layers of " + model.model() + " " + model.version());
        } else {
            context.timers().after(NO_CHAIN_RETRY_MS, this::beginAttempt);
        }
    }

    private String fullContext() {
        return delivered.isEmpty() ? request.prompt() : request.prompt() + " " + String.join(" ", delivered);
    }

    private void send(boolean prefill, String input) {
        Chain current = chain;
        if (ended || current == null) {
            return;
        }
        if (!context.mayContinue().getAsBoolean()) {
            onStandingLost();
            return;
        }
        if (sink.abandoned()) {
            fail(RefusalCode.DEADLINE_EXCEEDED, "the caller has gone");
            return;
        }
        Target target = current.targets().get(hop);
        Step step = new Step(request.id(), attempt, delivered.size(), model, target.layers(), prefill, input, priority);
        context.invariants().check(target.layers().from() == nextLayer, "layers-in-order", step);
        long timeout = Math.min(
                context.hopTimes().timeout(target.id(), prefill),
                Math.max(1, deadline - context.timers().nowMillis()));
        long sentAt = context.timers().nowMillis();
        lastSentAt = sentAt;
        lastTimeout = timeout;
        context.targets().step(target, step, timeout, result -> onResult(step, target, sentAt, result));
    }

    private void onResult(Step step, Target target, long sentAt, StepResult result) {
        boolean current = !ended && step.attempt() == attempt && step.position() == delivered.size() && chain != null;
        if (!current || step.layers().from() != nextLayer) {
            context.counters().lateAnswers++;
            return;
        }
        if (result instanceof StepResult.Answered answered) {
            onAnswered(step, target, sentAt, answered);
        } else if (result instanceof StepResult.Broken) {
            mayHaveRun = true;
            onBroken(target);
        } else if (result instanceof StepResult.TimedOut) {
            mayHaveRun = true;
            onTimedOut(target);
        } else if (result instanceof StepResult.NotSent) {
            abandonChain(target);
            beginAttemptWithinBudget();
        } else {
            context.fleet().declined(target.id());
            abandonChain(null);
            beginAttemptWithinBudget();
        }
    }

    private void onAnswered(Step step, Target target, long sentAt, StepResult.Answered answer) {
        mayHaveRun = true;
        if (!answers(answer, step)) {
            context.counters().crossedAnswers++;
            abandonChain(target);
            beginAttemptWithinBudget();
            return;
        }
        boolean alone = context.fleet().load(target.id()) <= 1;
        context.hopTimes().answered(target.id(), context.timers().nowMillis() - sentAt, alone);
        context.fleet().answered(target.id());
        nextLayer = target.layers().to();
        hop++;
        if (nextLayer < target.totalLayers()) {
            send(step.prefill(), answer.output());
        } else {
            onToken(answer.output());
        }
    }

    private static boolean answers(StepResult.Answered answer, Step step) {
        return answer.request().equals(step.request())
                && answer.attempt() == step.attempt()
                && answer.position() == step.position()
                && answer.version().equals(step.model().version())
                && answer.layers().equals(step.layers());
    }

    private void onToken(String token) {
        if (chain != null && !delivered.isEmpty()) {
            long interval = context.timers().nowMillis() - lastTokenAt;
            context.gates().onToken(model, interval / context.hopTimes().baseline(chain));
        }
        delivered.add(token);
        attemptsWithoutToken = 0;
        lastTokenAt = context.timers().nowMillis();
        context.counters().tokens++;
        sink.onToken(delivered.size() - 1, token);
        if (delivered.size() == request.maxTokens()) {
            complete();
            return;
        }
        if (delivered.size() == brokenAt + TRIAL_TOKENS) {
            endTrial();
        }
        hop = 0;
        nextLayer = 0;
        send(false, token);
    }

    /** Clears the request once it has gone past the token at which its target died. */
    private void endTrial() {
        Chain tried = chain;
        if (tried != null) {
            tried.targets().forEach(t -> context.guard().leave(fingerprint, t.id()));
        }
        context.guard().endTrial(fingerprint, request.id(), true);
    }

    private void onTimedOut(Target target) {
        boolean pausedHere = context.timers().nowMillis() - lastSentAt > lastTimeout + PAUSE_MS;
        context.guard().expose(fingerprint, target.identity());
        abandonChain(pausedHere ? null : target);
        beginAttemptWithinBudget();
    }

    /** Finds out whether the target died, since a request that kills its targets must not go on to others. */
    private void onBroken(Target target) {
        boolean blamedOnTrial = context.guard().blamesTrial(fingerprint, target.id());
        abandonChain(target);
        brokenAt = delivered.size();
        probe(target, blamedOnTrial, attempt, PROBES);
    }

    /** Probes until the target has shown itself alive or dead: a dying process takes connections for a moment. */
    private void probe(Target target, boolean blamedOnTrial, int failedAttempt, int probesLeft) {
        context.targets().probe(target, liveness -> {
            if (ended || attempt != failedAttempt) {
                return;
            }
            if (liveness == Targets.Liveness.SILENT && probesLeft > 1) {
                context.timers()
                        .after(PROBE_AGAIN_MS, () -> probe(target, blamedOnTrial, failedAttempt, probesLeft - 1));
            } else {
                onProbed(target, blamedOnTrial, liveness);
            }
        });
    }

    private void onProbed(Target target, boolean blamedOnTrial, Targets.Liveness liveness) {
        if (liveness == Targets.Liveness.DEAD && !blamedOnTrial) {
            context.guard().report(fingerprint, target.identity(), this::beginAttemptWithinBudget);
            return;
        }
        if (liveness == Targets.Liveness.DEAD) {
            context.guard().exposeToDeath(fingerprint, target.identity());
        } else if (liveness == Targets.Liveness.SILENT) {
            context.guard().expose(fingerprint, target.identity());
        }
        beginAttemptWithinBudget();
    }

    private void beginAttemptWithinBudget() {
        if (ended) {
            return;
        }
        attemptsWithoutToken++;
        if (attemptsWithoutToken >= MAX_ATTEMPTS) {
            fail(RefusalCode.TARGETS_FAILED, attemptsWithoutToken + " chains failed in a row");
        } else if (attemptsWithoutToken > 1 && !context.retryBudget().tryRetry()) {
            fail(RefusalCode.TARGETS_FAILED, "the retry budget is spent");
        } else {
            chainWantedSince = context.timers().nowMillis();
            beginAttempt();
        }
    }

    /** Gives up the present chain; a failed target is suspected. */
    private void abandonChain(@Nullable Target failed) {
        Chain abandoned = chain;
        if (abandoned == null) {
            return;
        }
        chain = null;
        context.fleet().release(abandoned);
        if (failed != null) {
            context.fleet().suspect(failed.id());
        }
        for (Target target : abandoned.targets()) {
            context.guard().leave(fingerprint, target.id());
            if (!target.equals(failed)) {
                context.targets().cancel(target, request.id(), attempt);
            }
        }
    }

    private void onDeadline() {
        fail(RefusalCode.DEADLINE_EXCEEDED, "the deadline of " + request.deadlineMillis() + " ms passed");
    }

    private void complete() {
        if (end("complete", true)) {
            sink.onComplete();
        }
    }

    private void fail(RefusalCode code, String detail) {
        if (!end(code.name(), false)) {
            return;
        }
        RequestOutcome outcome = mayHaveRun ? RequestOutcome.FAILED : RequestOutcome.NOT_RUN;
        long comeBack = code == RefusalCode.TARGET_CRASHES ? context.guard().comeBackMillis(fingerprint) : COME_BACK_MS;
        sink.onRefused(new Refusal(code, outcome, detail, comeBack));
    }

    private boolean end(String how, boolean completed) {
        if (ended) {
            return false;
        }
        ended = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        mayHaveRun |= chain != null && attempt > 0;
        abandonChain(null);
        context.guard().end(fingerprint, request.id(), completed);
        context.timeline()
                .record(EventKind.REQUEST_ENDED, "request", request.id(), "outcome", how, "tokens", delivered.size());
        onEnded.run();
        return true;
    }

    private static List<String> ids(Chain chain) {
        return chain.targets().stream().map(Target::id).toList();
    }
}
