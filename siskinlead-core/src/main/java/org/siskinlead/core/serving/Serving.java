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
import org.siskinlead.core.overload.ModelGates;
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
 * Admits requests and sees each to its one outcome. A request passes, in this order: standing, what the template
 * allows, the guard against crashing requests, the team's limit, and the bound on requests in flight.
 */
public final class Serving {
    private static final long STANDING_WAIT_MS = 500;
    private static final long STANDING_POLL_MS = 10;
    private static final long GATE_WAIT_MS = 2_000;
    private static final long COME_BACK_MS = 1_000;
    private static final long SWEEP_MS = 100;

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
     * Assembles the serving of requests.
     * @param membership tells whether this daemon may act
     * @param configuration templates in force
     * @param limits team limits
     * @param claims idempotency keys
     * @param guard guard against crashing requests
     * @param fleet targets known
     * @param targets way to the targets
     * @param timers time
     * @param timeline where events go
     * @param invariants checks
     * @return the serving part
     */
    public static Serving of(
            Membership membership,
            Configuration configuration,
            LimitHolder limits,
            KeyClaims claims,
            CrashGuard guard,
            Fleet fleet,
            Targets targets,
            Timers timers,
            Timeline timeline,
            Invariants invariants) {
        ServingContext context = new ServingContext(
                fleet,
                targets,
                guard,
                ModelGates.of(timers),
                RetryBudget.of(timers),
                new HopTimes(),
                timers,
                timeline,
                invariants,
                new ServingCounters(),
                () -> !membership.leaseLossGraceExpired());
        Serving serving = new Serving(membership, configuration, limits, claims, context);
        timers.every(SWEEP_MS, serving::endWorkWithoutStanding);
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
     * Gets the counts.
     * @return the counters
     */
    public ServingCounters counters() {
        return context.counters();
    }

    // Commands

    /**
     * Takes the platform's list of VMs, for the plain services on it.
     * @param vms the list
     */
    public void onVms(Collection<VmEntry> vms) {
        serviceCalls.onVms(vms);
    }

    /** Refuses all requests from now on; those in flight go on. */
    public void close() {
        closed = true;
    }

    /**
     * Serves a completion.
     * @param request the request
     * @param sink receives the answer
     */
    public void complete(CompletionRequest request, CompletionSink sink) {
        OnceSink once = new OnceSink(sink, request, context);
        afterStanding(once::onRefused, () -> {
            Optional<TeamDocument> team = allowed(request.team());
            if (team.isEmpty()) {
                once.onRefused(notAllowed(request.team()));
                return;
            }
            String version = team.get().template().models().get(request.model());
            if (version == null) {
                once.onRefused(Refusal.notRun(
                        RefusalCode.UNKNOWN_MODEL,
                        "team \"" + request.team() + "\" may not use model \"" + request.model() + "\"",
                        0));
                return;
            }
            admit(request, new ModelVersion(request.model(), version), priority(team.get()), once);
        });
    }

    /**
     * Serves a call to a plain service.
     * @param call the call
     * @param sink receives the answer
     */
    public void call(ServiceCall call, ServiceSink sink) {
        Consumer<Refusal> onRefused = refusal -> sink.onRefused(refusal.speakingFor(call.key()));
        afterStanding(onRefused, () -> {
            Optional<TeamDocument> team = allowed(call.team());
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

    private void admit(CompletionRequest request, ModelVersion model, int priority, OnceSink sink) {
        String fingerprint = Fingerprint.of(request.team(), request.model(), request.prompt());
        if (context.guard().verdict(fingerprint) != CrashGuard.Verdict.RUN) {
            sink.onRefused(Refusal.notRun(
                    RefusalCode.TARGET_CRASHES,
                    "targets died while they ran this request",
                    context.guard().comeBackMillis(fingerprint)));
            return;
        }
        limits.acquire(request.team(), priority, request.deadlineMillis(), admission -> {
            if (admission != Admission.ADMITTED) {
                sink.onRefused(limitRefusal(request.team(), admission));
                return;
            }
            begin(request.id(), request.team());
            enterGate(request, model, priority, sink);
        });
    }

    private void enterGate(CompletionRequest request, ModelVersion model, int priority, OnceSink sink) {
        long wait = Math.min(GATE_WAIT_MS, request.deadlineMillis());
        context.gates().enter(model, priority, wait, new WaitQueue.Outcome() {
            @Override
            public void granted() {
                run(request, model, priority, sink);
            }

            @Override
            public void timedOut() {
                refuse("no place in flight within " + wait + " ms");
            }

            @Override
            public void shed() {
                refuse("too many requests wait");
            }

            private void refuse(String detail) {
                end(request.team());
                sink.onRefused(Refusal.notRun(RefusalCode.OVERLOADED, detail, COME_BACK_MS));
            }
        });
    }

    private void run(CompletionRequest request, ModelVersion model, int priority, OnceSink sink) {
        context.retryBudget().onRequest();
        Completion completion = new Completion(request, model, priority, context, sink, () -> {
            running.remove(request.id());
            context.gates().leave(model);
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

    /** Waits a moment for standing, which is briefly missing while the witnesses change. */
    private void afterStanding(Consumer<Refusal> onRefused, Runnable task) {
        awaitStanding(context.timers().nowMillis() + STANDING_WAIT_MS, onRefused, task);
    }

    private void awaitStanding(long deadline, Consumer<Refusal> onRefused, Runnable task) {
        if (closed) {
            onRefused.accept(Refusal.notRun(RefusalCode.DRAINING, "this entry VM is leaving; ask for another", 1));
        } else if (membership.isActive()) {
            task.run();
        } else if (context.timers().nowMillis() >= deadline) {
            onRefused.accept(Refusal.notRun(
                    RefusalCode.NOT_IN_STANDING,
                    "this entry VM cannot tell whether its configuration is the latest",
                    COME_BACK_MS));
        } else {
            context.timers().after(STANDING_POLL_MS, () -> awaitStanding(deadline, onRefused, task));
        }
    }

    private Optional<TeamDocument> allowed(String team) {
        return configuration.team(team).filter(TeamDocument::complete);
    }

    private static int priority(TeamDocument team) {
        return (int) team.value(Parameter.PRIORITY, 0);
    }

    private static Refusal notAllowed(String team) {
        return Refusal.notRun(
                RefusalCode.NOT_ALLOWED, "the templates in force do not allow this to \"" + team + "\"", 0);
    }

    private static Refusal limitRefusal(String team, Admission admission) {
        RefusalCode code = admission == Admission.QUEUE_FULL ? RefusalCode.QUEUE_FULL : RefusalCode.LIMIT_REACHED;
        return Refusal.notRun(code, "the voted limit of \"" + team + "\" is spent", COME_BACK_MS);
    }

    private void endWorkWithoutStanding() {
        if (membership.leaseLossGraceExpired()) {
            List<Completion> toEnd = new ArrayList<>(running.values());
            toEnd.forEach(Completion::onStandingLost);
        }
    }
}
