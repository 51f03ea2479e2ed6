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
 * Runs one completion token by token through a chain of targets. When a target fails, the completion resumes on another
 * chain at the first undelivered token. Answers to abandoned attempts are dropped.
 */
final class Completion {
    private static final int MAX_ATTEMPTS_WITHOUT_TOKEN = 5;
    /**
     * Maximum number of probes of a target whose connection broke. At {@link #PROBE_INTERVAL_MS} they cover the 100 ms
     * within which an exiting process is gone.
     */
    private static final int MAX_PROBES = 5;

    private static final long PROBE_INTERVAL_MS = 30;
    private static final long CHAIN_POLL_INTERVAL_MS = 50;
    private static final long CHAIN_WAIT_MS = 2_000;
    private static final long RETRY_AFTER_MS = 1_000;
    /** Tokens that a suspect must generate, from the one at which its target crashed, to be cleared. */
    private static final int TRIAL_TOKENS = 3;
    /** Delay of a timer above which this process is taken to have been paused, in milliseconds. */
    private static final long PROCESS_PAUSE_MS = 500;

    private final CompletionRequest request;
    private final ModelVersion model;
    private final int priority;
    private final String fingerprint;
    private final ServingContext context;
    private final CheckedSink sink;
    private final Runnable onEnded;
    private final long deadline;
    private final List<String> delivered = new ArrayList<>();
    private @Nullable Chain chain;
    private int attempt;
    private int hop;
    private int nextLayer;
    private long chainRequestedAt;
    private long lastSentAt;
    private long lastTimeoutMillis;
    private long lastTokenAt;
    private int attemptsWithoutToken;
    private int connectionLostPosition = Integer.MIN_VALUE;
    private boolean mayHaveRun;
    private boolean ended;
    private @Nullable Timer deadlineTimer;

    Completion(
            CompletionRequest request,
            ModelVersion model,
            int priority,
            ServingContext context,
            CheckedSink sink,
            Runnable onEnded) {
        this.request = request;
        this.model = model;
        this.priority = priority;
        this.context = context;
        this.sink = sink;
        this.onEnded = onEnded;
        this.fingerprint = Fingerprint.of(request.team(), request.model(), request.prompt());
        this.deadline = context.timers().nowMillis() + sink.leftMillis();
    }

    void start() {
        deadlineTimer = context.timers().after(sink.leftMillis(), this::onDeadline);
        chainRequestedAt = context.timers().nowMillis();
        lastTokenAt = chainRequestedAt;
        acquireChain();
    }

    /** Ends the completion because this daemon's quorum lease was lost. */
    void onLeaseLost() {
        fail(RefusalCode.STANDING_LOST, "this daemon lost its quorum lease");
    }

    /** Starts an attempt once the crash guard permits it and a chain is available. */
    private void acquireChain() {
        if (ended) {
            return;
        }
        CrashGuard.Verdict verdict = context.guard().verdict(fingerprint);
        if (verdict == CrashGuard.Verdict.REFUSE) {
            fail(RefusalCode.TARGET_CRASHES, "targets crashed while they ran this request");
            return;
        }
        if (verdict == CrashGuard.Verdict.WAIT || !context.guard().tryBeginTrial(fingerprint, request.id())) {
            context.timers().after(CHAIN_POLL_INTERVAL_MS, this::acquireChain);
            return;
        }
        long waitedMillis = context.timers().nowMillis() - chainRequestedAt;
        Predicate<Target> usable = context.guard().crashedTargets(fingerprint) == 0
                ? Fleet.ANY
                : target -> context.guard().mayRunOn(fingerprint, target.id(), waitedMillis);
        Optional<Chain> assigned = context.fleet().assign(model, usable);
        if (assigned.isEmpty()) {
            waitForChain();
            return;
        }
        startAttempt(assigned.get());
    }

    private void startAttempt(Chain assigned) {
        chain = assigned;
        attempt++;
        hop = 0;
        nextLayer = 0;
        context.guard()
                .recordStart(
                        fingerprint,
                        request.id(),
                        assigned.targets().stream().map(Target::instanceId).toList());
        assigned.targets().forEach(t -> context.guard().reserveTarget(fingerprint, t.id()));
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
        boolean isSuspect = context.guard().crashedTargets(fingerprint) > 0;
        if (!isSuspect && context.timers().nowMillis() - chainRequestedAt > CHAIN_WAIT_MS) {
            fail(RefusalCode.NO_CHAIN, "no targets cover all layers of " + model.model() + " " + model.version());
        } else {
            context.timers().after(CHAIN_POLL_INTERVAL_MS, this::acquireChain);
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
            onLeaseLost();
            return;
        }
        if (sink.isCallerDisconnected()) {
            fail(RefusalCode.DEADLINE_EXCEEDED, "the caller disconnected");
            return;
        }
        Target target = current.targets().get(hop);
        Step step = new Step(request.id(), attempt, delivered.size(), model, target.layers(), prefill, input, priority);
        context.invariants().check(target.layers().from() == nextLayer, "layers-in-order", step);
        long timeout = Math.min(
                context.stepLatencies().timeoutMillis(target.id(), prefill),
                Math.max(1, deadline - context.timers().nowMillis()));
        long sentAt = context.timers().nowMillis();
        lastSentAt = sentAt;
        lastTimeoutMillis = timeout;
        context.targetTransport().step(target, step, timeout, result -> onResult(step, target, sentAt, result));
    }

    private void onResult(Step step, Target target, long sentAt, StepResult result) {
        boolean current = !ended && step.attempt() == attempt && step.position() == delivered.size() && chain != null;
        if (!current || step.layers().from() != nextLayer) {
            context.counters().lateAnswers++;
            return;
        }
        if (result instanceof StepResult.Answered answered) {
            onAnswered(step, target, sentAt, answered);
        } else if (result instanceof StepResult.ConnectionLost) {
            mayHaveRun = true;
            onConnectionLost(target);
        } else if (result instanceof StepResult.TimedOut) {
            mayHaveRun = true;
            onTimedOut(target);
        } else if (result instanceof StepResult.NotSent) {
            abandonChain(target);
            retryOrFail();
        } else {
            context.fleet().onDeclined(target.id());
            abandonChain(null);
            retryOrFail();
        }
    }

    private void onAnswered(Step step, Target target, long sentAt, StepResult.Answered answer) {
        mayHaveRun = true;
        if (!matches(answer, step)) {
            context.counters().mismatchedAnswers++;
            abandonChain(target);
            retryOrFail();
            return;
        }
        boolean alone = context.fleet().load(target.id()) <= 1;
        context.stepLatencies().onAnswered(target.id(), context.timers().nowMillis() - sentAt, alone);
        context.fleet().onAnswered(target.id());
        nextLayer = target.layers().to();
        hop++;
        if (nextLayer < target.totalLayers()) {
            send(step.prefill(), answer.output());
        } else {
            onToken(answer.output());
        }
    }

    private static boolean matches(StepResult.Answered answer, Step step) {
        return answer.request().equals(step.request())
                && answer.attempt() == step.attempt()
                && answer.position() == step.position()
                && answer.version().equals(step.model().version())
                && answer.layers().equals(step.layers());
    }

    private void onToken(String token) {
        if (chain != null && !delivered.isEmpty()) {
            long interval = context.timers().nowMillis() - lastTokenAt;
            context.modelLimits()
                    .onToken(model, interval / context.stepLatencies().baselineMillis(chain));
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
        if (delivered.size() == connectionLostPosition + TRIAL_TOKENS) {
            endTrial();
        }
        hop = 0;
        nextLayer = 0;
        send(false, token);
    }

    /** Clears the request once it has passed the token at which its target crashed. */
    private void endTrial() {
        Chain tried = chain;
        if (tried != null) {
            tried.targets().forEach(t -> context.guard().releaseTarget(fingerprint, t.id()));
        }
        context.guard().endTrial(fingerprint, request.id(), true);
    }

    private void onTimedOut(Target target) {
        boolean wasPaused = context.timers().nowMillis() - lastSentAt > lastTimeoutMillis + PROCESS_PAUSE_MS;
        context.guard().recordExposure(fingerprint, target.instanceId());
        abandonChain(wasPaused ? null : target);
        retryOrFail();
    }

    /** Probes whether the target crashed, since a request that crashes its targets must not be sent to others. */
    private void onConnectionLost(Target target) {
        boolean attributedToTrial = context.guard().isAttributedToTrial(fingerprint, target.id());
        abandonChain(target);
        connectionLostPosition = delivered.size();
        probe(target, attributedToTrial, attempt, MAX_PROBES);
    }

    /** Repeats the probe while nothing answers, since an exiting process still accepts connections for a moment. */
    private void probe(Target target, boolean attributedToTrial, int failedAttempt, int probesLeft) {
        context.targetTransport().probe(target, liveness -> {
            if (ended || attempt != failedAttempt) {
                return;
            }
            if (liveness == TargetTransport.Liveness.SILENT && probesLeft > 1) {
                context.timers()
                        .after(
                                PROBE_INTERVAL_MS,
                                () -> probe(target, attributedToTrial, failedAttempt, probesLeft - 1));
            } else {
                onProbed(target, attributedToTrial, liveness);
            }
        });
    }

    private void onProbed(Target target, boolean attributedToTrial, TargetTransport.Liveness liveness) {
        if (liveness == TargetTransport.Liveness.DEAD && !attributedToTrial) {
            context.guard().reportCrash(fingerprint, target.instanceId(), this::retryOrFail);
            return;
        }
        if (liveness == TargetTransport.Liveness.DEAD) {
            context.guard().recordCrashDuringTrial(fingerprint, target.instanceId());
        } else if (liveness == TargetTransport.Liveness.SILENT) {
            context.guard().recordExposure(fingerprint, target.instanceId());
        }
        retryOrFail();
    }

    /** Starts the next attempt, if permitted. The first retry after a token is not charged to the retry budget. */
    private void retryOrFail() {
        if (ended) {
            return;
        }
        attemptsWithoutToken++;
        if (attemptsWithoutToken >= MAX_ATTEMPTS_WITHOUT_TOKEN) {
            fail(RefusalCode.TARGETS_FAILED, attemptsWithoutToken + " consecutive chains failed");
        } else if (attemptsWithoutToken > 1 && !context.retryBudget().tryAcquire()) {
            fail(RefusalCode.TARGETS_FAILED, "the retry budget is exhausted");
        } else {
            chainRequestedAt = context.timers().nowMillis();
            acquireChain();
        }
    }

    /** Gives up the current chain and marks the failed target, if any, as suspected. */
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
            context.guard().releaseTarget(fingerprint, target.id());
            if (!target.equals(failed)) {
                context.targetTransport().cancel(target, request.id(), attempt);
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
        long retryAfterMillis =
                code == RefusalCode.TARGET_CRASHES ? context.guard().retryAfterMillis(fingerprint) : RETRY_AFTER_MS;
        sink.onRefused(new Refusal(code, outcome, detail, retryAfterMillis));
    }

    private boolean end(String outcome, boolean completed) {
        if (ended) {
            return false;
        }
        ended = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        mayHaveRun |= chain != null && attempt > 0;
        abandonChain(null);
        context.guard().recordEnd(fingerprint, request.id(), completed);
        context.timeline()
                .record(
                        EventKind.REQUEST_ENDED,
                        "request",
                        request.id(),
                        "outcome",
                        outcome,
                        "tokens",
                        delivered.size());
        onEnded.run();
        return true;
    }

    private static List<String> ids(Chain chain) {
        return chain.targets().stream().map(Target::id).toList();
    }
}
