package org.siskinlead.core.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.idempotency.ClaimVerdict;
import org.siskinlead.core.idempotency.KeyClaims;
import org.siskinlead.core.idempotency.KeyRecord;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.core.timeline.EventKind;

/**
 * Sends calls to plain services. A call that may not be repeated is sent once at most: with a key after the key is
 * recorded, without one to a single VM; only a call that was certainly never sent goes to another VM.
 */
final class ServiceCalls {
    /** A removed daemon's calls have ended by the time its share of the limits is given to others. */
    private static final long TIMEOUT_MS = Membership.LEASE_LOSS_GRACE_MS;

    private static final long SUSPECT_MS = 2_000;
    private static final long COME_BACK_MS = 1_000;

    private final KeyClaims claims;
    private final Membership membership;
    private final ServingContext context;
    private final Map<String, Long> suspectedUntil = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private List<VmEntry> services = List.of();

    ServiceCalls(KeyClaims claims, Membership membership, ServingContext context) {
        this.claims = claims;
        this.membership = membership;
        this.context = context;
    }

    void onVms(Collection<VmEntry> vms) {
        List<VmEntry> next = new ArrayList<>();
        for (VmEntry vm : vms) {
            if (vm.role() == VmEntry.Role.SERVICE && vm.state() == VmEntry.State.LIVE) {
                next.add(vm);
            }
        }
        services = next;
    }

    void run(ServiceCall call, boolean repeatable, ServiceSink sink, Runnable onEnded) {
        ServiceSink ending = new EndingSink(call, sink, onEnded);
        if (call.key().isEmpty()) {
            new Sending(call, repeatable, null, ending).next();
            return;
        }
        String fingerprint = Fingerprint.of(call.service(), call.operation(), call.body());
        claims.claim(scopedKey(call), fingerprint, (verdict, record) -> onVerdict(call, verdict, record, ending));
    }

    private static String scopedKey(ServiceCall call) {
        return call.team() + "/" + call.key();
    }

    private void onVerdict(ServiceCall call, ClaimVerdict verdict, @Nullable KeyRecord record, ServiceSink sink) {
        switch (verdict) {
            case SEND -> {
                if (record == null) {
                    throw new IllegalStateException("claim granted without its record");
                }
                new Sending(call, false, record, sink).next();
            }
            case DONE -> {
                if (record == null) {
                    throw new IllegalStateException("finished claim without its record");
                }
                sink.onAnswer(record.status(), record.body(), true);
            }
            case IN_PROGRESS ->
                sink.onRefused(
                        Refusal.notRun(RefusalCode.KEY_IN_PROGRESS, "a call with this key is in progress", COME_BACK_MS)
                                .speakingFor(call.key()));
            case MISMATCH ->
                sink.onRefused(Refusal.notRun(RefusalCode.KEY_MISMATCH, "this key was used for another call", 0));
            case UNKNOWN ->
                sink.onRefused(Refusal.unknown("a call with this key may have run; it will not be sent again"));
            case UNAVAILABLE ->
                sink.onRefused(Refusal.notRun(
                                RefusalCode.KEY_RECORD_UNAVAILABLE,
                                "the key could be neither looked up nor recorded; this call was not sent",
                                COME_BACK_MS)
                        .speakingFor(call.key()));
        }
    }

    private Optional<VmEntry> choose(String service, Set<String> tried) {
        long now = context.timers().nowMillis();
        VmEntry best = null;
        double bestCost = Double.MAX_VALUE;
        for (VmEntry vm : services) {
            if (!vm.service().equals(service) || tried.contains(vm.id())) {
                continue;
            }
            boolean suspected = suspectedUntil.getOrDefault(vm.id(), Long.MIN_VALUE) > now;
            boolean remote = !vm.dataCentre().equals(membership.self().dataCentre());
            double cost = inFlight.getOrDefault(vm.id(), 0) + (remote ? 0.5 : 0) + (suspected ? 1_000 : 0);
            if (cost < bestCost) {
                best = vm;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** One call on its way, from one VM to the next while that is safe. */
    private final class Sending {
        private final ServiceCall call;
        private final boolean repeatable;
        private final @Nullable KeyRecord claim;
        private final ServiceSink sink;
        private final Set<String> tried = new HashSet<>();
        private boolean mayHaveRun;

        Sending(ServiceCall call, boolean repeatable, @Nullable KeyRecord claim, ServiceSink sink) {
            this.call = call;
            this.repeatable = repeatable;
            this.claim = claim;
            this.sink = sink;
        }

        void next() {
            Optional<VmEntry> vm = choose(call.service(), tried);
            if (vm.isEmpty() || !membership.isActive()) {
                giveUp();
                return;
            }
            VmEntry chosen = vm.get();
            tried.add(chosen.id());
            inFlight.merge(chosen.id(), 1, Integer::sum);
            context.timeline().record(EventKind.REQUEST_SENT, "request", call.request(), "target", chosen.id());
            context.targets().call(chosen, call, TIMEOUT_MS, result -> onResult(chosen, result));
        }

        private void onResult(VmEntry vm, ServiceResult result) {
            inFlight.merge(vm.id(), -1, Integer::sum);
            if (result instanceof ServiceResult.Answered answered) {
                resolve(KeyRecord.State.DONE, answered.status(), answered.body());
                sink.onAnswer(answered.status(), answered.body(), false);
                return;
            }
            suspectedUntil.put(vm.id(), context.timers().nowMillis() + SUSPECT_MS);
            if (result instanceof ServiceResult.NotSent) {
                next();
                return;
            }
            mayHaveRun = true;
            if (repeatable && context.retryBudget().tryRetry()) {
                next();
            } else {
                giveUp();
            }
        }

        private void giveUp() {
            if (!mayHaveRun) {
                resolve(KeyRecord.State.NOT_RUN, 0, "");
                sink.onRefused(Refusal.notRun(
                        RefusalCode.UNKNOWN_SERVICE,
                        "no VM of service \"" + call.service() + "\" could be reached",
                        COME_BACK_MS));
            } else if (repeatable) {
                sink.onRefused(Refusal.failed(
                        RefusalCode.TARGETS_FAILED, "no VM of \"" + call.service() + "\" answered", COME_BACK_MS));
            } else {
                resolve(KeyRecord.State.UNKNOWN, 0, "");
                sink.onRefused(Refusal.unknown("the call was sent and its answer was lost"));
            }
        }

        private void resolve(KeyRecord.State state, int status, String body) {
            if (claim != null) {
                claims.resolve(scopedKey(call), claim.ended(state, status, body));
            }
        }
    }

    private final class EndingSink implements ServiceSink {
        private final ServiceCall call;
        private final ServiceSink sink;
        private final Runnable onEnded;
        private boolean ended;

        EndingSink(ServiceCall call, ServiceSink sink, Runnable onEnded) {
            this.call = call;
            this.sink = sink;
            this.onEnded = onEnded;
        }

        @Override
        public void onAnswer(int status, String body, boolean replayed) {
            if (end(replayed ? "replayed" : "complete")) {
                context.counters().completed++;
                sink.onAnswer(status, body, replayed);
            }
        }

        @Override
        public void onRefused(Refusal refusal) {
            if (end(refusal.outcome().text())) {
                context.counters().refused++;
                sink.onRefused(refusal);
            }
        }

        private boolean end(String outcome) {
            boolean first = context.invariants().hold(!ended, "one-outcome", call.request());
            if (first) {
                ended = true;
                context.timeline().record(EventKind.REQUEST_ENDED, "request", call.request(), "outcome", outcome);
                onEnded.run();
            }
            return first;
        }
    }
}
