package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.siskinlead.core.crash.CrashReports;
import org.siskinlead.core.crash.Suspect;
import org.siskinlead.core.forwarding.CrashWatch.Evidence;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;

/**
 * Reacts to targets that are lost: informs the other daemons, collects the requests that may have caused a crash, and
 * fails the attempts that ran there.
 */
final class TargetLossHandler implements TargetRegistry.InstanceListener {
    /**
     * Daemons, on average, that report a silent target. Each daemon detects it by its own streams, so more reports
     * would only add writes to the store.
     */
    private static final int SILENCE_REPORTERS = 4;

    private final ForwardingContext context;
    private final Set<ForwardedCall> running;
    private Forwarder.DownNoticePublisher publisher = (instanceId, fingerprints) -> {};

    TargetLossHandler(ForwardingContext context, Set<ForwardedCall> running) {
        this.context = context;
        this.running = running;
    }

    void setPublisher(Forwarder.DownNoticePublisher downNoticePublisher) {
        publisher = downNoticePublisher;
    }

    void setCrashReports(CrashReports reports) {
        context.crashWatch().setReports(reports);
        reports.setListener(new CrashReports.Listener() {
            @Override
            public void onCrash(String instanceId, List<Suspect> suspects) {
                context.crashWatch().onOwnCrash(instanceId, suspectsOn(instanceId), Evidence.REPORTED);
                context.crashWatch().onCrash(instanceId, suspects);
                endBlocked();
            }

            @Override
            public void onCleared(String trait, List<String> instanceIds) {
                context.crashWatch().onCleared(trait, instanceIds);
                endBlocked();
            }
        });
    }

    /** Records the requests that were running on a target when it crashed, by their fingerprints. */
    void onCrash(String instanceId, List<String> fingerprints) {
        context.crashWatch().onCrash(instanceId, CrashWatch.suspectsOf(instanceId, fingerprints));
    }

    /**
     * Reports the requests that an instance left without an answer, unless it has left as announced. Those that run on an
     * instance of which only the entry is gone may still be answered, unless it is silent.
     */
    @Override
    public void onGone(TargetHealth instance) {
        String instanceId = instance.entry().instanceId();
        if (instance.isLeaving()) {
            return;
        }
        boolean hasStopped = instance.hasEnded() || instance.isDown();
        Collection<Suspect> suspects =
                hasStopped ? suspectsOn(instanceId) : context.crashWatch().unansweredOn(instanceId);
        if (!suspects.isEmpty()) {
            context.crashWatch()
                    .onOwnCrash(instanceId, suspects, instance.hasEnded() ? Evidence.RESTARTED : Evidence.GONE);
            endBlocked();
        }
    }

    @Override
    public void onBack(String instanceId) {
        context.crashWatch().onSurvived(instanceId);
    }

    /** Handles a down notice of another daemon. */
    void onDownNotice(String instanceId, List<String> fingerprints) {
        String id = instanceId.substring(0, Math.max(0, instanceId.lastIndexOf('@')));
        boolean left = context.registry()
                .find(id)
                .filter(t -> t.entry().instanceId().equals(instanceId))
                .map(t -> !t.isInService())
                .orElse(false);
        if (!left) {
            onCrash(instanceId, fingerprints);
        }
        boolean hasSuspects = !fingerprints.isEmpty()
                || !context.prober().requestsBrokenOn(instanceId).isEmpty();
        if (hasSuspects && !left) {
            reportSuspects(instanceId);
        }
        context.registry()
                .find(id)
                .filter(t -> t.entry().instanceId().equals(instanceId) && !t.isDown())
                .ifPresent(t -> {
                    t.markDown(TargetProber.DOWN_PERIOD_MS);
                    notifyCalls(instanceId, fingerprints.isEmpty() ? TargetLoss.SILENT : TargetLoss.ENDED);
                    context.registry().notifyListeners();
                });
    }

    /** Handles a target that this daemon has found down. */
    void onTargetDown(TargetProber.Finding finding) {
        String instanceId = finding.target().entry().instanceId();
        List<String> fingerprints = new ArrayList<>();
        // A target that leaves has ended as announced, whatever was running there.
        if (finding.health() != TargetLink.Health.SILENT && finding.target().isInService()) {
            for (ForwardedCall call : running) {
                if (call.usesInstance(instanceId)) {
                    fingerprints.add(call.admitted().fingerprint());
                }
            }
            context.prober().requestsBrokenOn(instanceId).forEach(call -> fingerprints.add(call.fingerprint()));
            reportSuspects(instanceId);
        }
        boolean isReporter =
                context.random().nextInt(Math.max(1, context.daemonCount().getAsInt())) < SILENCE_REPORTERS;
        if (!fingerprints.isEmpty() || isReporter) {
            publisher.publish(instanceId, fingerprints);
        }
        notifyCalls(instanceId, finding.health() == TargetLink.Health.SILENT ? TargetLoss.SILENT : TargetLoss.ENDED);
    }

    /** Reports this daemon's suspects of a crash, and ends those whose next target may crash as well. */
    private void reportSuspects(String instanceId) {
        List<ForwardedCall> suspected = new ArrayList<>();
        for (ForwardedCall call : running) {
            if (call.suspectOn(instanceId).isPresent()) {
                suspected.add(call);
            }
        }
        for (AdmittedRequest broken : context.prober().requestsBrokenOn(instanceId)) {
            running.stream().filter(call -> call.admitted().equals(broken)).forEach(suspected::add);
        }
        context.crashWatch().onOwnCrash(instanceId, suspectsOn(instanceId), Evidence.DOWN);
        suspected.forEach(call -> call.endIfAccusedBesides(instanceId));
        endBlocked();
    }

    private Collection<Suspect> suspectsOn(String instanceId) {
        Set<Suspect> suspects = new LinkedHashSet<>(context.crashWatch().unansweredOn(instanceId));
        suspects.addAll(context.prober().suspectsBrokenOn(instanceId));
        running.forEach(call -> call.suspectOn(instanceId).ifPresent(suspects::add));
        return suspects;
    }

    private void endBlocked() {
        List.copyOf(running).forEach(ForwardedCall::endIfBlocked);
    }

    private void notifyCalls(String instanceId, TargetLoss loss) {
        for (ForwardedCall call : List.copyOf(running)) {
            call.onTargetDown(instanceId, loss);
        }
    }
}
