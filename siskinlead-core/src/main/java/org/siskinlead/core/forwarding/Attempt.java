package org.siskinlead.core.forwarding;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.admission.AdmissionCounters.Step;
import org.siskinlead.core.admission.SendWindow;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.crash.Suspect;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.timeline.EventKind;

/** One send of a request to a target. Holds the reserved token memory on the path until the attempt ends. */
final class Attempt implements TargetLink.Listener {
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Time in which a probe of a target that another one reports as faulty finds it dead. */
    private static final long FAULT_CHECK_MS = 100;

    private final ForwardingContext context;
    private final AdmittedRequest admitted;
    private final TargetChooser.Choice choice;
    private final Owner owner;
    private final double reservedTokens;
    private TargetLink.@Nullable Exchange exchange;
    private boolean reserving;
    private boolean ended;
    private long sentAt;
    private boolean answering;
    /** Whether the target has answered with something else than the answer to a request that it runs. */
    private boolean refused;
    /** Whether the targets have shown that they survive the request. */
    private boolean proven;

    private @Nullable Suspect suspect;
    private int level;
    private @Nullable SendWindow window;

    /** Receives the events of an attempt until it ends or is cancelled. */
    interface Owner {
        void onHead(Attempt attempt, TargetResponse response);

        void onBodyChunk(Attempt attempt, byte[] part);

        void onEnd(Attempt attempt);

        void onFailure(Attempt attempt, LinkFailure failure);
    }

    Attempt(ForwardingContext context, AdmittedRequest admitted, TargetChooser.Choice choice, Owner owner) {
        this.context = context;
        this.admitted = admitted;
        this.choice = choice;
        this.owner = owner;
        this.reservedTokens = admitted.expectedTokens();
    }

    // Queries

    TargetHealth target() {
        return choice.target();
    }

    @Nullable
    HopPath path() {
        return choice.path();
    }

    boolean usesInstance(String instanceId) {
        HopPath path = choice.path();
        return path == null ? target().entry().instanceId().equals(instanceId) : path.containsInstance(instanceId);
    }

    /** Tells whether a target of the path is no longer in service, except the one that answers. */
    boolean hasLostLaterTarget() {
        HopPath path = choice.path();
        return path != null
                && path.hops().stream()
                        .anyMatch(h -> h.target() != target() && !h.target().isAvailable());
    }

    /** Gets the time at which the request was sent, in milliseconds of the monotonic clock. */
    long sentAt() {
        return sentAt;
    }

    /** Gets the send as a suspect of a crash; null once the targets have survived it or refused it. */
    @Nullable
    Suspect suspect() {
        if (proven || refused) {
            return null;
        }
        if (suspect == null) {
            suspect = context.crashWatch().newSuspect(admitted);
        }
        return suspect;
    }

    long elapsedMillis() {
        return context.timers().nowMillis() - sentAt;
    }

    /** Lists the targets that run the request. */
    private List<TargetHealth> targets() {
        HopPath path = choice.path();
        return path == null
                ? List.of(target())
                : path.hops().stream().map(Hop::target).toList();
    }

    // Commands

    void start(int number, long lastEventId, int priority) {
        reserveMemory();
        target().beginRequest();
        level = priority - 1;
        window = context.admission().windowOf(admitted.service());
        if (window != null) {
            window.onSent(level);
        }
        context.admission().counters().increment(Step.SENT, admitted.priority(), admitted.team());
        context.interconnect().onSent(admitted, choice.path());
        sentAt = context.timers().nowMillis();
        targets().forEach(t -> t.onSent(this, admitted.route().latencyObjectiveMillis()));
        context.timeline()
                .record(
                        EventKind.REQUEST_SENT,
                        "request",
                        admitted.request().id(),
                        "target",
                        describeTargetOrPath(),
                        "attempt",
                        number,
                        "afterEvent",
                        lastEventId,
                        "leftMs",
                        admitted.remainingMillis(context.timers()));
        exchange = context.link()
                .send(
                        new Dispatch(
                                admitted.request(),
                                target().entry(),
                                choice.path(),
                                admitted.team(),
                                priority,
                                Math.max(1, admitted.remainingMillis(context.timers())),
                                lastEventId),
                        this);
    }

    /** Releases the memory reserved on the path, while another attempt should take the place of this one. */
    void releaseMemory() {
        HopPath path = choice.path();
        if (path != null && reserving) {
            reserving = false;
            path.reserve(-reservedTokens);
        }
    }

    /** Reserves the memory on the path, unless the attempt has ended. */
    void reserveMemory() {
        HopPath path = choice.path();
        if (path != null && !reserving && !ended) {
            reserving = true;
            path.reserve(reservedTokens);
        }
    }

    /** Closes the connection to the target; the owner receives no further events. */
    void cancel() {
        if (release(Completion.PARTIAL) && exchange != null) {
            exchange.cancel();
            recordUnanswered();
        }
    }

    /** Records that the targets live on after they have run the request, or begun to write its answer. */
    void onProven() {
        if (!proven) {
            proven = true;
            context.crashWatch().onProven(admitted, instanceIds(), sentAt);
        }
    }

    private void recordUnanswered() {
        Suspect unanswered = suspect();
        if (unanswered == null) {
            return;
        }
        context.crashWatch().onUnanswered(instanceIds(), unanswered, sentAt);
        for (TargetHealth target : targets()) {
            if (target.hasEnded() && !target.isLeaving()) {
                context.crashWatch()
                        .onOwnCrash(target.entry().instanceId(), List.of(unanswered), CrashWatch.Evidence.RESTARTED);
            }
        }
    }

    private List<String> instanceIds() {
        return targets().stream().map(t -> t.entry().instanceId()).toList();
    }

    @Override
    public void onHead(TargetResponse response) {
        if (!ended) {
            refused = !response.isSuccess() || !response.isAuthentic();
            reportCapacity(response);
            owner.onHead(this, response);
        }
    }

    @Override
    public void onBodyChunk(byte[] part) {
        if (!ended) {
            if (!answering) {
                answering = true;
                targets().forEach(t -> t.onFirstPart(this));
            }
            owner.onBodyChunk(this, part);
        }
    }

    @Override
    public void onEnd() {
        if (release(Completion.COMPLETE)) {
            owner.onEnd(this);
        }
    }

    @Override
    public void onFailure(LinkFailure failure) {
        if (release(Completion.PARTIAL)) {
            if (!failure.mayHaveRun()) {
                target().onUnreachable();
            } else if (failure == LinkFailure.BROKEN) {
                recordUnanswered();
            }
            owner.onFailure(this, failure);
        }
    }

    /** Reports to the send window whether the targets had capacity for the request. */
    private void reportCapacity(TargetResponse response) {
        if (response.isSuccess() && response.isAuthentic() && window != null) {
            double waiting = response.load() < 0 ? -1 : response.waiting();
            window.onAccepted(waiting, response.load() - waiting);
        } else if (response.status() == SERVICE_UNAVAILABLE && response.notRun() && response.matchesRequest()) {
            if (response.faultAddress().isEmpty()
                    || response.faultAddress().equals(target().entry().address())) {
                reportRefusal(response.leaving() ? null : target());
            } else {
                // Whether a later target of the path is dead or full is known once it has been probed.
                context.registry()
                        .findByAddress(response.faultAddress())
                        .ifPresent(faulty -> context.timers().after(FAULT_CHECK_MS, () -> reportRefusal(faulty)));
            }
        }
    }

    private void reportRefusal(@Nullable TargetHealth refusing) {
        if (refusing != null && refusing.isAvailable()) {
            context.admission().counters().increment(Step.REFUSED_BY_TARGET, admitted.priority(), admitted.team());
            if (window != null) {
                window.onRefused(
                        level,
                        context.answerTimes().expectedMillis(admitted.service().name()));
            }
        }
    }

    private enum Completion {
        COMPLETE,
        PARTIAL
    }

    private boolean release(Completion completion) {
        if (ended) {
            return false;
        }
        ended = true;
        target().endRequest();
        targets().forEach(t -> t.onEnded(this));
        if (window != null) {
            window.onEnded(level, elapsedMillis(), completion == Completion.COMPLETE);
        }
        releaseMemory();
        return true;
    }

    /** Gets the target id, or for a path the id and layers of each target as {@code id=from-to}. */
    String describeTargetOrPath() {
        HopPath path = choice.path();
        if (path == null) {
            return target().entry().id();
        }
        StringBuilder text = new StringBuilder();
        for (Hop hop : path.hops()) {
            text.append(text.length() == 0 ? "" : " ")
                    .append(hop.target().entry().id())
                    .append('=')
                    .append(hop.layers().from())
                    .append('-')
                    .append(hop.layers().to());
        }
        return text.toString();
    }
}
