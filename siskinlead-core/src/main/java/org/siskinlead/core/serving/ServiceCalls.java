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
 * Sends calls to plain services. A call that must not be repeated is sent at most once: with an idempotency key after
 * the key is recorded, without one to a single VM. It goes to another VM only if it was certainly never sent.
 */
final class ServiceCalls {
    /**
     * Equal to the grace period after a lease loss, so that a removed daemon's calls have ended when its share of the
     * limits goes to others.
     */
    private static final long TIMEOUT_MS = Membership.LEASE_LOSS_GRACE_MS;

    private static final long SUSPICION_MS = 2_000;
    private static final long RETRY_AFTER_MS = 1_000;

    private final KeyClaims claims;
    private final Membership membership;
    private final ServingContext context;
    private final Map<String, Long> suspectedUntil = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private List<VmEntry> serviceVms = List.of();

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
        serviceVms = next;
    }

    void run(ServiceCall call, boolean repeatable, ServiceSink sink, Runnable onEnded) {
        ServiceSink singleOutcomeSink = new SingleOutcomeSink(call, sink, onEnded);
        if (call.key().isEmpty()) {
            new PendingCall(call, repeatable, null, singleOutcomeSink).sendToNextVm();
            return;
        }
        String fingerprint = Fingerprint.of(call.service(), call.operation(), call.body());
        claims.claim(
                scopedKey(call), fingerprint, (verdict, record) -> onVerdict(call, verdict, record, singleOutcomeSink));
    }

    private static String scopedKey(ServiceCall call) {
        return call.team() + "/" + call.key();
    }

    private void onVerdict(ServiceCall call, ClaimVerdict verdict, @Nullable KeyRecord record, ServiceSink sink) {
        switch (verdict) {
            case SEND -> {
                if (record == null) {
                    throw new IllegalStateException(
                            "key claim of request " + call.request() + " was granted without a key record");
                }
                new PendingCall(call, false, record, sink).sendToNextVm();
            }
            case DONE -> {
                if (record == null) {
                    throw new IllegalStateException(
                            "key claim of request " + call.request() + " is done but has no key record");
                }
                sink.onAnswer(record.status(), record.body(), true);
            }
            case IN_PROGRESS ->
                sink.onRefused(Refusal.notRun(
                                RefusalCode.KEY_IN_PROGRESS, "a call with this key is in progress", RETRY_AFTER_MS)
                        .withIdempotencyKey(call.key()));
            case MISMATCH ->
                sink.onRefused(Refusal.notRun(RefusalCode.KEY_MISMATCH, "this key was used for another call", 0));
            case UNKNOWN ->
                sink.onRefused(Refusal.unknown("a call with this key may have run; it will not be sent again"));
            case UNAVAILABLE ->
                sink.onRefused(Refusal.notRun(
                                RefusalCode.KEY_RECORD_UNAVAILABLE,
                                "the key could be neither looked up nor recorded; this call was not sent",
                                RETRY_AFTER_MS)
                        .withIdempotencyKey(call.key()));
        }
    }

    /** Chooses the VM with the fewest calls in flight, at equal load in this data centre, and suspected VMs last. */
    private Optional<VmEntry> chooseVm(String service, Set<String> tried) {
        long now = context.timers().nowMillis();
        VmEntry best = null;
        double bestCost = Double.MAX_VALUE;
        for (VmEntry vm : serviceVms) {
            if (!vm.service().equals(service) || tried.contains(vm.id())) {
                continue;
            }
            boolean isSuspected = suspectedUntil.getOrDefault(vm.id(), Long.MIN_VALUE) > now;
            boolean isRemote = !vm.dataCentre().equals(membership.self().dataCentre());
            double cost = inFlight.getOrDefault(vm.id(), 0) + (isRemote ? 0.5 : 0) + (isSuspected ? 1_000 : 0);
            if (cost < bestCost) {
                best = vm;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** A call that goes to another VM if it was not sent, or if it went unanswered and may be repeated. */
    private final class PendingCall {
        private final ServiceCall call;
        private final boolean repeatable;
        private final @Nullable KeyRecord claim;
        private final ServiceSink sink;
        private final Set<String> triedVms = new HashSet<>();
        private boolean mayHaveRun;

        PendingCall(ServiceCall call, boolean repeatable, @Nullable KeyRecord claim, ServiceSink sink) {
            this.call = call;
            this.repeatable = repeatable;
            this.claim = claim;
            this.sink = sink;
        }

        void sendToNextVm() {
            Optional<VmEntry> vm = chooseVm(call.service(), triedVms);
            if (vm.isEmpty() || !membership.isActive()) {
                giveUp();
                return;
            }
            VmEntry chosen = vm.get();
            triedVms.add(chosen.id());
            inFlight.merge(chosen.id(), 1, Integer::sum);
            context.timeline().record(EventKind.REQUEST_SENT, "request", call.request(), "target", chosen.id());
            context.targetTransport().call(chosen, call, TIMEOUT_MS, result -> onResult(chosen, result));
        }

        private void onResult(VmEntry vm, ServiceResult result) {
            inFlight.merge(vm.id(), -1, Integer::sum);
            if (result instanceof ServiceResult.Answered answered) {
                resolve(KeyRecord.State.DONE, answered.status(), answered.body());
                sink.onAnswer(answered.status(), answered.body(), false);
                return;
            }
            suspectedUntil.put(vm.id(), context.timers().nowMillis() + SUSPICION_MS);
            if (result instanceof ServiceResult.NotSent) {
                sendToNextVm();
                return;
            }
            mayHaveRun = true;
            if (repeatable && context.retryBudget().tryAcquire()) {
                sendToNextVm();
            } else {
                giveUp();
            }
        }

        private void giveUp() {
            if (!mayHaveRun) {
                resolve(KeyRecord.State.NOT_RUN, 0, "");
                sink.onRefused(Refusal.notRun(
                        RefusalCode.UNKNOWN_SERVICE,
                        "the call could not be sent to any VM of service \"" + call.service() + "\"",
                        RETRY_AFTER_MS));
            } else if (repeatable) {
                sink.onRefused(Refusal.failed(
                        RefusalCode.TARGETS_FAILED,
                        "no VM of service \"" + call.service() + "\" answered",
                        RETRY_AFTER_MS));
            } else {
                resolve(KeyRecord.State.UNKNOWN, 0, "");
                sink.onRefused(Refusal.unknown("the call was sent but no answer arrived"));
            }
        }

        private void resolve(KeyRecord.State state, int status, String body) {
            if (claim != null) {
                claims.reportResult(scopedKey(call), claim.withResult(state, status, body));
            }
        }
    }

    /** Forwards the first outcome of a call and records it; a second one violates an invariant. */
    private final class SingleOutcomeSink implements ServiceSink {
        private final ServiceCall call;
        private final ServiceSink sink;
        private final Runnable onEnded;
        private boolean ended;

        SingleOutcomeSink(ServiceCall call, ServiceSink sink, Runnable onEnded) {
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
            boolean first = context.invariants().check(!ended, "one-outcome", call.request());
            if (first) {
                ended = true;
                context.timeline().record(EventKind.REQUEST_ENDED, "request", call.request(), "outcome", outcome);
                onEnded.run();
            }
            return first;
        }
    }
}
