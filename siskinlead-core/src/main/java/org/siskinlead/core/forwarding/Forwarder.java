package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.admission.Admission;
import org.siskinlead.core.admission.AdmissionCounters;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.RouteKind;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.catalog.Team;
import org.siskinlead.core.crash.CrashReports;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Admits callers' requests by the newest catalog and forwards them. A request that requires a key, or matches no route,
 * is decided only while the catalog is proven recent, so that every daemon rejects a revoked key within the proof's
 * maximum age.
 */
public final class Forwarder {
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Longest wait for a fresh proof before a request is refused; allows a few round trips to the store. */
    private static final long PROOF_WAIT_MS = 300;
    /** Time until the store has probably confirmed the configuration, for callers refused for want of that. */
    private static final long RETRY_AFTER_MS = 500;

    private static final String DRAINING_DETAIL = "this daemon is draining";
    private static final long STALL_CHECK_INTERVAL_MS = 10;
    /** Delay of a stall check beyond which this process is taken to have been paused. */
    private static final long PROCESS_PAUSE_MS = 80;
    /** Time budget of a request that gives none. */
    private static final long DEFAULT_TIME_BUDGET_MS = 30_000;

    private final Timers timers;
    private final Timeline timeline;
    private final Freshness freshness;
    private final Runnable renewProof;
    private final ForwardingContext context;
    private final TargetChooser chooser;
    private final Map<String, RequestQueue> queues = new HashMap<>();
    private final Set<ForwardedCall> running = new LinkedHashSet<>();
    private final TargetLossHandler targetLosses;
    private final List<Runnable> awaitingProof = new ArrayList<>();
    private int awaitingTrial;
    private @Nullable Catalog catalog;
    private long lastStallCheckAt;

    /** Notifies the other daemons of targets found down. */
    public interface DownNoticePublisher {
        /**
         * Publishes that a target was found down.
         * @param instanceId the target's instance
         * @param fingerprints fingerprints of the requests that were running on it, empty when it did not crash
         */
        void publish(String instanceId, List<String> fingerprints);
    }

    private Forwarder(
            Timers timers, Timeline timeline, Freshness freshness, Runnable renewProof, ForwardingContext context) {
        this.timers = timers;
        this.timeline = timeline;
        this.freshness = freshness;
        this.renewProof = renewProof;
        this.context = context;
        this.chooser = new TargetChooser(context);
        this.targetLosses = new TargetLossHandler(context, running);
        this.lastStallCheckAt = timers.nowMillis();
    }

    /**
     * Creates a forwarder and starts its periodic stall check.
     * @param timers clock and scheduler
     * @param timeline receives the events of requests
     * @param registry registered targets
     * @param link transport to the targets
     * @param rateLimits limits that targets have named
     * @param freshness state of the proof that the catalog is recent
     * @param renewProof requests a new proof from the store at once
     * @param retryBudget this daemon's share of the retries of all daemons
     * @param daemonCount number of serving daemons
     * @param random source of target, service and retry-time choices
     * @return the forwarder
     */
    public static Forwarder of(
            Timers timers,
            Timeline timeline,
            TargetRegistry registry,
            TargetLink link,
            TargetRateLimits rateLimits,
            Freshness freshness,
            Runnable renewProof,
            RetryBudgetShare retryBudget,
            IntSupplier daemonCount,
            RandomGenerator random) {
        ForwardingContext context =
                ForwardingContext.of(timers, timeline, registry, link, rateLimits, retryBudget, daemonCount, random);
        Forwarder forwarder = new Forwarder(timers, timeline, freshness, renewProof, context);
        registry.pacing().setUsualTimes(context.answerTimes()::expectedMillis);
        context.prober().setDownListener(forwarder.targetLosses::onTargetDown);
        registry.setInstanceListener(forwarder.targetLosses);
        timers.every(STALL_CHECK_INTERVAL_MS, forwarder::checkForStalls);
        return forwarder;
    }

    /** Lets the server cancel a request. */
    public interface RequestHandle {
        /** Cancels the request because the caller closed its connection. */
        void onCallerDisconnected();

        /**
         * Cancels the request because this daemon closed the connection of its caller.
         * @param reason why it did
         */
        default void onConnectionClosed(String reason) {
            onCallerDisconnected();
        }
    }

    // Queries

    /**
     * Counts the requests that have not ended.
     * @return number of requests running, queued, or waiting for a proof or a trial
     */
    public int inFlight() {
        return running.size() + awaitingProof.size() + awaitingTrial;
    }

    /**
     * Gets the counters of request outcomes.
     * @return the counters
     */
    public ForwardingCounters counters() {
        return context.counters();
    }

    /**
     * Gets the counters by level and team.
     * @return the counters
     */
    public AdmissionCounters admissionCounters() {
        return context.admission().counters();
    }

    /**
     * Gets the catalog in force.
     * @return the newest catalog, empty before the first one is loaded
     */
    public Optional<Catalog> catalog() {
        return Optional.ofNullable(catalog);
    }

    // Commands

    /**
     * Sets the publisher that notifies the other daemons of targets found down.
     * @param publisher the publisher
     */
    public void setDownNoticePublisher(DownNoticePublisher publisher) {
        targetLosses.setPublisher(publisher);
    }

    /**
     * Sets the exchange of evidence about crashes with the other daemons.
     * @param reports the exchange
     */
    public void setCrashReports(CrashReports reports) {
        targetLosses.setCrashReports(reports);
    }

    /** Chooses the paths of requests by own load times the number of daemons, not by shares of a plan. */
    public void choosePathsByOwnLoad() {
        chooser.useOwnLoads();
    }

    /**
     * Puts a catalog in force unless its version is not newer than the current one.
     * @param newer the catalog
     */
    public void onCatalog(Catalog newer) {
        if (catalog != null && newer.version() <= catalog.version()) {
            if (newer.version() < catalog.version()) {
                timeline.record(
                        EventKind.CONFIGURATION_OLDER, "revision", newer.version(), "inForce", catalog.version());
            }
            return;
        }
        catalog = newer;
        context.admission().onCatalog(newer);
        timeline.record(EventKind.CONFIGURATION_IN_FORCE, "revision", newer.version());
    }

    /** Resumes the requests that wait for a proof that the catalog is recent. */
    public void onProof() {
        if (freshness.isFresh() && !awaitingProof.isEmpty()) {
            List<Runnable> pending = List.copyOf(awaitingProof);
            awaitingProof.clear();
            pending.forEach(Runnable::run);
        }
    }

    /**
     * Accepts from now on only requests that are expected to end before a given time.
     * @param monotonicMillis time at which this daemon stops, in milliseconds of the monotonic clock
     */
    public void drainUntil(long monotonicMillis) {
        context.drain().drainUntil(monotonicMillis);
    }

    /**
     * Sets the check whether callers that this daemon refuses while it drains find another one.
     * @param check true while another daemon accepts requests
     * @param directoryTtlMillis time for which callers may keep an answer of the directory, in milliseconds
     */
    public void setOthersServe(BooleanSupplier check, long directoryTtlMillis) {
        context.drain().setOthersServe(check, directoryTtlMillis);
    }

    /**
     * Ends every request that is still running.
     * @param reason outcome to record
     */
    public void terminateAll(String reason) {
        List.copyOf(running).forEach(call -> call.terminate(reason));
    }

    /**
     * Records the requests that were running on a target when it crashed.
     * @param instanceId the target's instance
     * @param fingerprints fingerprints of the requests
     */
    public void onCrash(String instanceId, List<String> fingerprints) {
        targetLosses.onCrash(instanceId, fingerprints);
    }

    /**
     * Handles a down notice of another daemon.
     * @param instanceId instance of the target that the other daemon has just found down
     * @param fingerprints fingerprints of the requests that the other daemon was running on it
     */
    public void onDownNotice(String instanceId, List<String> fingerprints) {
        targetLosses.onDownNotice(instanceId, fingerprints);
    }

    /**
     * Admits and forwards a request, or refuses it.
     * @param request the request
     * @param reply receives the response
     * @return a handle to cancel the request
     */
    public RequestHandle onRequest(IncomingRequest request, Reply reply) {
        context.counters().increment(Count.RECEIVED);
        CallHandle handle = new CallHandle();
        admit(request, reply, handle, timers.nowMillis(), ProofWait.ALLOWED);
        return handle;
    }

    /** Whether a request may wait for a proof that the catalog is recent; it waits once at most. */
    private enum ProofWait {
        ALLOWED,
        USED
    }

    private void admit(IncomingRequest request, Reply reply, CallHandle handle, long receivedAt, ProofWait wait) {
        if (handle.isCancelled()) {
            return;
        }
        Catalog current = catalog;
        if (current == null) {
            refuse(request, reply, RefusalCode.CONFIGURATION_UNKNOWN, "no configuration has been loaded yet");
            return;
        }
        boolean fresh = freshness.isFresh();
        Optional<Route> route = current.route(request.host(), request.path());
        boolean needsProof = route.isEmpty() || current.requiresKey(route.get());
        if (needsProof && !fresh) {
            if (wait == ProofWait.ALLOWED) {
                awaitProof(() -> admit(request, reply, handle, receivedAt, ProofWait.USED));
            } else {
                refuse(
                        request,
                        reply,
                        RefusalCode.CONFIGURATION_UNKNOWN,
                        "the configuration could not be confirmed as current");
            }
            return;
        }
        if (route.isEmpty()) {
            refuse(request, reply, RefusalCode.UNKNOWN_ROUTE, "no route matches this host and path");
            return;
        }
        Team team = null;
        if (current.requiresKey(route.get())) {
            team = current.findTeamByKey(request.credential()).orElse(null);
            if (team == null) {
                refuse(
                        request,
                        reply,
                        RefusalCode.NO_CREDENTIAL,
                        "the API key is missing or does not belong to any team");
                return;
            }
        }
        forward(request, reply, handle, receivedAt, current, route.get(), team);
    }

    private void awaitProof(Runnable task) {
        renewProof.run();
        awaitingProof.add(task);
        timers.after(PROOF_WAIT_MS, () -> {
            if (awaitingProof.remove(task)) {
                task.run();
            }
        });
    }

    private void forward(
            IncomingRequest request,
            Reply reply,
            CallHandle handle,
            long receivedAt,
            Catalog current,
            Route route,
            @Nullable Team team) {
        String serviceName = route.chooseService(context.random());
        Optional<Service> service = current.service(serviceName);
        if (service.isEmpty()) {
            refuse(request, reply, RefusalCode.NO_CHAIN, "service \"" + serviceName + "\" is not configured");
            return;
        }
        long timeBudgetMillis = timeBudgetMillis(request);
        AdmittedRequest admitted = new AdmittedRequest(
                request,
                route,
                service.get(),
                team == null ? "" : team.name(),
                context.admission().levelOf(serviceName, route, team),
                receivedAt,
                receivedAt + Math.min(timeBudgetMillis, route.timeoutMillis()),
                receivedAt + timeBudgetMillis,
                AdmittedRequest.Role.ORDINARY,
                null);
        if (context.drain().isDraining()) {
            DrainEstimate estimate = context.drain().estimate(admitted);
            if (context.drain().isLeftToOthers(admitted) || !estimate.endsInTime()) {
                recordRefusal(request, RefusalCode.DRAINING, DRAINING_DETAIL);
                long retryAfterMillis = new RetryAfter(context.random())
                        .drawMillis(context.drain().millisToOther(), admitted.remainingMillis(timers));
                reply.refuse(Refusal.notRun(RefusalCode.DRAINING, DRAINING_DETAIL, retryAfterMillis));
                return;
            }
            admitted = admitted.withDrainEstimate(estimate);
        }
        acceptUnlessSuspected(admitted, reply, handle);
    }

    private void acceptUnlessSuspected(AdmittedRequest admitted, Reply reply, CallHandle handle) {
        if (context.crashWatch().isBlocked(admitted)) {
            tryOrRefuse(admitted, reply, handle);
            return;
        }
        accept(admitted, reply, handle);
    }

    /** Refuses a blocked request, unless this daemon may send it as a trial. */
    private void tryOrRefuse(AdmittedRequest admitted, Reply reply, CallHandle handle) {
        awaitingTrial++;
        context.crashWatch().requestTrial(admitted, granted -> {
            awaitingTrial--;
            if (handle.isCancelled()) {
                return;
            }
            if (granted) {
                accept(admitted.asTrial(), reply, handle);
                return;
            }
            Refusal refusal = context.crashWatch().refusal(admitted, admitted.remainingMillis(timers));
            recordRefusal(admitted.request(), refusal.code(), refusal.detail());
            reply.refuse(refusal);
        });
    }

    private void accept(AdmittedRequest admitted, Reply reply, CallHandle handle) {
        IncomingRequest request = admitted.request();
        context.retryBudget().onRequest(admitted.service().name());
        List<Object> fields = new ArrayList<>(List.of(
                "request",
                request.id(),
                "route",
                admitted.route().name(),
                "team",
                admitted.team(),
                "parts",
                String.join(",", request.sharedPromptParts()),
                "revision",
                catalog == null ? 0 : catalog.version(),
                "proofAgeMs",
                freshness.ageMillis(),
                "priority",
                admitted.priority(),
                "inFlight",
                running.size()));
        fields.addAll(CutRecorder.describe(admitted));
        timeline.record(EventKind.REQUEST_ADMITTED, fields.toArray());
        start(admitted, reply, handle);
    }

    private static long timeBudgetMillis(IncomingRequest request) {
        return request.timeBudgetMillis() > 0 ? request.timeBudgetMillis() : DEFAULT_TIME_BUDGET_MS;
    }

    private void start(AdmittedRequest admitted, Reply reply, CallHandle handle) {
        RequestQueue queue = queues.computeIfAbsent(admitted.service().name(), s -> newQueue(admitted.service()));
        Runnable onDone = () -> running.remove(handle.call());
        ForwardedCall call = admitted.route().kind() == RouteKind.STREAM
                ? StreamingCall.of(context, chooser, queue, admitted, reply, onDone)
                : BufferedCall.of(context, chooser, queue, admitted, reply, onDone);
        handle.setCall(call);
        running.add(call);
        call.begin();
    }

    private RequestQueue newQueue(Service service) {
        Admission admission = context.admission();
        return new RequestQueue(timers, () -> admission.isLimiting(service), admission::isLargeFleet);
    }

    private void refuse(IncomingRequest request, Reply reply, RefusalCode code, String detail) {
        recordRefusal(request, code, detail);
        long retryAfterMillis = RetryAfter.within(RETRY_AFTER_MS, timeBudgetMillis(request));
        reply.refuse(Refusal.notRun(code, detail, code.status() == SERVICE_UNAVAILABLE ? retryAfterMillis : 0));
    }

    private void recordRefusal(IncomingRequest request, RefusalCode code, String detail) {
        context.counters().incrementRefusals(code);
        timeline.record(
                EventKind.REQUEST_REFUSED,
                "request",
                request.id(),
                "code",
                code,
                "reason",
                detail,
                "path",
                request.path(),
                "revision",
                catalog == null ? 0 : catalog.version(),
                "proofAgeMs",
                freshness.ageMillis());
    }

    private void checkForStalls() {
        long now = timers.nowMillis();
        boolean wasPaused = now - lastStallCheckAt > STALL_CHECK_INTERVAL_MS + PROCESS_PAUSE_MS;
        lastStallCheckAt = now;
        List<StreamingCall> streams = new ArrayList<>();
        for (ForwardedCall call : running) {
            if (call instanceof StreamingCall stream) {
                streams.add(stream);
            }
        }
        if (wasPaused) {
            streams.forEach(StreamingCall::discountPause);
        } else {
            StallDetector.check(streams, context.prober());
            streams.forEach(StreamingCall::resumeIfStuck);
        }
    }
}
