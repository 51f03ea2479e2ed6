package org.siskinlead.core.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.siskinlead.core.configuration.Configuration;
import org.siskinlead.core.configuration.Parameter;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.idempotency.KeyClaims;
import org.siskinlead.core.invariant.Invariants;
import org.siskinlead.core.limits.Admission;
import org.siskinlead.core.limits.LimitHolder;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.overload.ModelConcurrencyLimits;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.core.queue.WaitQueue;
import org.siskinlead.core.retry.CrashGuard;
import org.siskinlead.core.retry.RetryBudget;
import org.siskinlead.core.routing.Fleet;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Admits requests and ends each with exactly one outcome. A completion passes, in this order: the quorum lease, the
 * team's template, the crash guard, the team's limit, and the model's limit on requests in flight.
 */
public final class Serving {
    private static final long ACTIVE_WAIT_MS = 500;
    private static final long ACTIVE_POLL_INTERVAL_MS = 10;
    private static final long MODEL_LIMIT_WAIT_MS = 2_000;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final long LEASE_CHECK_INTERVAL_MS = 100;

    private final Membership membership;
    private final Configuration configuration;
    private final LimitHolder limits;
    private final ServingContext context;
    private final ServiceCalls serviceCalls;
    private final Map<String, Completion> running = new LinkedHashMap<>();
    private int inFlight;
    private boolean closed;

    private Serving(
            Membership membership,
            Configuration configuration,
            LimitHolder limits,
            KeyClaims claims,
            ServingContext context) {
        this.membership = membership;
        this.configuration = configuration;
        this.limits = limits;
        this.context = context;
        this.serviceCalls = new ServiceCalls(claims, membership, context);
    }

    /**
     * Creates the component that serves requests.
     * @param membership tells whether this daemon is active
     * @param configuration templates in force
     * @param limits team limits
     * @param claims idempotency keys
     * @param guard guard against requests that crash targets
     * @param fleet known targets
     * @param targetTransport sends work to the targets
     * @param timers clock and scheduler
     * @param timeline receives the events
     * @param invariants records violated invariants
     * @return the component
     */
    public static Serving of(
            Membership membership,
            Configuration configuration,
            LimitHolder limits,
            KeyClaims claims,
            CrashGuard guard,
            Fleet fleet,
            TargetTransport targetTransport,
            Timers timers,
            Timeline timeline,
            Invariants invariants) {
        ServingContext context = new ServingContext(
                fleet,
                targetTransport,
                guard,
                ModelConcurrencyLimits.of(timers),
                RetryBudget.of(timers),
                new StepLatencies(),
                timers,
                timeline,
                invariants,
                new ServingCounters(),
                () -> !membership.leaseLossGraceExpired());
        Serving serving = new Serving(membership, configuration, limits, claims, context);
        timers.every(LEASE_CHECK_INTERVAL_MS, serving::endRequestsAfterLeaseLoss);
        return serving;
    }

    // Queries

    /**
     * Counts the requests that have not ended.
     * @return number of requests
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the counters.
     * @return the counters
     */
    public ServingCounters counters() {
        return context.counters();
    }

    // Commands

    /**
     * Updates the VMs of plain services from the platform's list.
     * @param vms all VMs on the platform's list
     */
    public void onVms(Collection<VmEntry> vms) {
        serviceCalls.onVms(vms);
    }

    /** Refuses all new requests; those in flight continue. */
    public void close() {
        closed = true;
    }

    /**
     * Serves a completion.
     * @param request the request
     * @param sink receives the answer
     */
    public void serveCompletion(CompletionRequest request, CompletionSink sink) {
        CheckedSink checkedSink = new CheckedSink(sink, request, context);
        whenActive(checkedSink::onRefused, () -> {
            Optional<TeamDocument> team = findCompleteDocument(request.team());
            if (team.isEmpty()) {
                checkedSink.onRefused(notAllowed(request.team()));
                return;
            }
            String version = team.get().template().models().get(request.model());
            if (version == null) {
                checkedSink.onRefused(Refusal.notRun(
                        RefusalCode.UNKNOWN_MODEL,
                        "team \"" + request.team() + "\" may not use model \"" + request.model() + "\"",
                        0));
                return;
            }
            admit(request, new ModelVersion(request.model(), version), priority(team.get()), checkedSink);
        });
    }

    /**
     * Serves a call to a plain service.
     * @param call the call
     * @param sink receives the answer
     */
    public void serveCall(ServiceCall call, ServiceSink sink) {
        Consumer<Refusal> onRefused = refusal -> sink.onRefused(refusal.withIdempotencyKey(call.key()));
        whenActive(onRefused, () -> {
            Optional<TeamDocument> team = findCompleteDocument(call.team());
            if (team.isEmpty() || !team.get().template().services().contains(call.service())) {
                onRefused.accept(notAllowed(call.team()));
                return;
            }
            boolean repeatable = team.get().template().repeatable().contains(call.service() + "/" + call.operation());
            limits.acquire(call.team(), priority(team.get()), LimitHolder.MAX_WAIT_MS, admission -> {
                if (admission != Admission.ADMITTED) {
                    context.counters().refused++;
                    onRefused.accept(limitRefusal(call.team(), admission));
                    return;
                }
                begin(call.request(), call.team());
                serviceCalls.run(call, repeatable, sink, () -> end(call.team()));
            });
        });
    }

    // Helpers

    private void admit(CompletionRequest request, ModelVersion model, int priority, CheckedSink sink) {
        String fingerprint = Fingerprint.of(request.team(), request.model(), request.prompt());
        if (context.guard().verdict(fingerprint) != CrashGuard.Verdict.RUN) {
            sink.onRefused(Refusal.notRun(
                    RefusalCode.TARGET_CRASHES,
                    "targets crashed while they ran this request",
                    context.guard().retryAfterMillis(fingerprint)));
            return;
        }
        limits.acquire(request.team(), priority, sink.leftMillis(), admission -> {
            if (admission != Admission.ADMITTED) {
                sink.onRefused(limitRefusal(request.team(), admission));
                return;
            }
            begin(request.id(), request.team());
            acquireModelLimit(request, model, priority, sink);
        });
    }

    private void acquireModelLimit(CompletionRequest request, ModelVersion model, int priority, CheckedSink sink) {
        long waitMillis = Math.min(MODEL_LIMIT_WAIT_MS, sink.leftMillis());
        context.modelLimits().acquire(model, priority, waitMillis, new WaitQueue.Callback() {
            @Override
            public void granted() {
                run(request, model, priority, sink);
            }

            @Override
            public void timedOut() {
                refuse("the model's limit on requests in flight left no room within " + waitMillis + " ms");
            }

            @Override
            public void shed() {
                refuse("too many requests are waiting");
            }

            private void refuse(String detail) {
                end(request.team());
                sink.onRefused(Refusal.notRun(RefusalCode.OVERLOADED, detail, RETRY_AFTER_MS));
            }
        });
    }

    private void run(CompletionRequest request, ModelVersion model, int priority, CheckedSink sink) {
        context.retryBudget().onRequest();
        Completion completion = new Completion(request, model, priority, context, sink, () -> {
            running.remove(request.id());
            context.modelLimits().release(model);
            end(request.team());
        });
        running.put(request.id(), completion);
        completion.start();
    }

    private void begin(String request, String team) {
        inFlight++;
        context.counters().admitted++;
        context.timeline()
                .record(
                        EventKind.REQUEST_ADMITTED,
                        "request",
                        request,
                        "team",
                        team,
                        "revision",
                        configuration.revision());
    }

    private void end(String team) {
        inFlight--;
        limits.release(team);
    }

    /**
     * Runs a task once this daemon is active. Waits briefly, since the quorum lease is missing for a moment while the
     * witnesses change.
     */
    private void whenActive(Consumer<Refusal> onRefused, Runnable task) {
        awaitActive(context.timers().nowMillis() + ACTIVE_WAIT_MS, onRefused, task);
    }

    private void awaitActive(long deadline, Consumer<Refusal> onRefused, Runnable task) {
        if (closed) {
            onRefused.accept(
                    Refusal.notRun(RefusalCode.DRAINING, "this entry VM is draining; use another entry VM", 1));
        } else if (membership.isActive()) {
            task.run();
        } else if (context.timers().nowMillis() >= deadline) {
            onRefused.accept(Refusal.notRun(
                    RefusalCode.NOT_IN_STANDING,
                    "this entry VM is not active: it has no quorum lease or no configuration",
                    RETRY_AFTER_MS));
        } else {
            context.timers().after(ACTIVE_POLL_INTERVAL_MS, () -> awaitActive(deadline, onRefused, task));
        }
    }

    private Optional<TeamDocument> findCompleteDocument(String team) {
        return configuration.team(team).filter(TeamDocument::hasAllValues);
    }

    private static int priority(TeamDocument team) {
        return (int) team.value(Parameter.PRIORITY, 0);
    }

    private static Refusal notAllowed(String team) {
        return Refusal.notRun(
                RefusalCode.NOT_ALLOWED, "the templates in force do not allow this for team \"" + team + "\"", 0);
    }

    private static Refusal limitRefusal(String team, Admission admission) {
        RefusalCode code = admission == Admission.QUEUE_FULL ? RefusalCode.QUEUE_FULL : RefusalCode.LIMIT_REACHED;
        return Refusal.notRun(code, "the voted limit of team \"" + team + "\" is reached", RETRY_AFTER_MS);
    }

    private void endRequestsAfterLeaseLoss() {
        if (membership.leaseLossGraceExpired()) {
            List<Completion> toEnd = new ArrayList<>(running.values());
            toEnd.forEach(Completion::onLeaseLost);
        }
    }
}
