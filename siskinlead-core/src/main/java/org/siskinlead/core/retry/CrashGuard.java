package org.siskinlead.core.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.membership.Ownership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Tracks, across all daemons, which requests were running on targets that crashed. A request that ran on a crashed
 * target is a suspect. Only the daemon that reported it retries it, as a trial: alone, on targets that run no other
 * suspect, and only after every active daemon knows of the report. A successful trial clears the request. If the
 * trial crashes another target, the request is refused until the suspicion expires. A target that stopped answering
 * while it ran a request is an exposure: it may still crash when it resumes. Once a request has crashed one target,
 * exposures that never recover count as crashes.
 */
public final class CrashGuard {
    /** Crashed targets at which a request is refused. */
    public static final int MAX_CRASHED_TARGETS = 2;
    /** Time after its latest report at which a suspicion expires, in milliseconds. */
    public static final long SUSPICION_TTL_MS = 600_000;

    /** Time after the end of a trial during which a crash of its target is still attributed to it. */
    private static final long TRIAL_ATTRIBUTION_MS = 500;

    /** How long a suspect waits before it also uses targets on which another daemon has precedence. */
    private static final long PRECEDENCE_WAIT_MS = 150;

    private static final long TRIAL_TTL_MS = 60_000;
    private static final long TRIAL_RETRY_AFTER_MS = 2_000;
    private static final long RESEND_INTERVAL_MS = 100;
    private static final int MAX_SUSPECTS = 10_000;

    private final Membership membership;
    private final Peers peers;
    private final Timers timers;
    private final Timeline timeline;
    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();
    private final Exposures exposures;
    private final CrashTraces traces;
    private final Map<String, ExpiringTrial> expiringTrialByTarget = new HashMap<>();
    private final Map<String, String> localTrialByTarget = new HashMap<>();
    private final Map<String, String> trialRequestByFingerprint = new HashMap<>();
    private final List<ReportDelivery> reportDeliveries = new ArrayList<>();

    /** Decision on whether a request may run. */
    public enum Verdict {
        /** The request may run. */
        RUN,
        /** The decision waits until a target that stopped answering has resumed, crashed or counts as lost. */
        WAIT,
        /** The request may not run: it has crashed too many targets, or its trial belongs to another daemon. */
        REFUSE
    }

    /** A trial of another daemon on a target, or one of this daemon that has just ended. */
    private record ExpiringTrial(String fingerprint, long expiresAt) {}

    /** Reports about one suspect and the members that confirmed them. */
    private static final class Suspicion {
        private final Map<String, PeerMessage.CrashSuspect> reports = new LinkedHashMap<>();
        private final Set<String> crashedTargets = new LinkedHashSet<>();
        private final TreeSet<String> reporters = new TreeSet<>();
        private final Set<String> confirmations = new HashSet<>();
        private long expiresAt;
    }

    private CrashGuard(Membership membership, Peers peers, Timers timers, Timeline timeline) {
        this.membership = membership;
        this.peers = peers;
        this.timers = timers;
        this.timeline = timeline;
        this.exposures = new Exposures(timers);
        this.traces = CrashTraces.of(membership, peers, timers);
    }

    /**
     * Creates a guard. From then on this daemon, as a witness, vouches only for members that have confirmed every
     * crash report known to this daemon.
     * @param membership members that must know of suspects
     * @param peers sends messages to other daemons
     * @param timers clock and scheduler
     * @param timeline receives the events
     * @return the guard
     */
    public static CrashGuard of(Membership membership, Peers peers, Timers timers, Timeline timeline) {
        CrashGuard guard = new CrashGuard(membership, peers, timers, timeline);
        membership.setVouchCondition(guard::sendUnconfirmedReports);
        timers.every(RESEND_INTERVAL_MS, guard::resend);
        return guard;
    }

    // Queries

    /**
     * Counts the targets that crashed while they ran a request.
     * @param fingerprint fingerprint of the request
     * @return number of crashed targets; 0 once the suspicion has expired
     */
    public int crashedTargets(String fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null || suspicion.expiresAt <= timers.nowMillis()) {
            return 0;
        }
        return suspicion.crashedTargets.size();
    }

    /**
     * Decides whether a request may run on this daemon.
     * @param fingerprint fingerprint of the request
     * @return the decision
     */
    public Verdict verdict(String fingerprint) {
        if (crashedTargets(fingerprint) == 0) {
            return Verdict.RUN;
        }
        if (hasReachedCrashLimit(fingerprint) || !ownsTrial(fingerprint)) {
            return Verdict.REFUSE;
        }
        return openExposures(fingerprint) == 0 ? Verdict.RUN : Verdict.WAIT;
    }

    /**
     * Returns whether a crash of a target is attributed to a suspect on trial there.
     * @param fingerprint fingerprint of a request that was running on the target
     * @param target name of the target's VM
     * @return true when the request is no suspect and a suspect is, or recently was, on trial on the target
     */
    public boolean isAttributedToTrial(String fingerprint, String target) {
        if (crashedTargets(fingerprint) > 0) {
            return false;
        }
        ExpiringTrial other = expiringTrialByTarget.get(target);
        return localTrialByTarget.containsKey(target) || (other != null && other.expiresAt() > timers.nowMillis());
    }

    /**
     * Returns when a refused request may be sent again.
     * @param fingerprint fingerprint of the request
     * @return delay in milliseconds
     */
    public long retryAfterMillis(String fingerprint) {
        if (hasReachedCrashLimit(fingerprint)) {
            return SUSPICION_TTL_MS;
        }
        return openExposures(fingerprint) > 0 ? Exposures.RECOVERY_TIMEOUT_MS : TRIAL_RETRY_AFTER_MS;
    }

    /**
     * Returns whether a request may run on a target.
     * @param fingerprint fingerprint of the request
     * @param target name of the target's VM
     * @param waitedMillis how long the request has waited for targets, in milliseconds
     * @return false when the request is a suspect and another suspect runs there, or another daemon has precedence and
     *     the request has not waited long enough
     */
    public boolean mayRunOn(String fingerprint, String target, long waitedMillis) {
        if (crashedTargets(fingerprint) == 0) {
            return true;
        }
        if (localTrialByTarget.containsKey(target)) {
            return fingerprint.equals(localTrialByTarget.get(target));
        }
        ExpiringTrial other = expiringTrialByTarget.get(target);
        boolean hasOtherTrial = other != null
                && other.expiresAt() > timers.nowMillis()
                && !other.fingerprint().equals(fingerprint);
        return !hasOtherTrial && (waitedMillis >= PRECEDENCE_WAIT_MS || hasPrecedenceOn(target));
    }

    // Commands

    /**
     * Begins the trial of a suspect. Other requests need no trial.
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @return false while another request with this fingerprint is on trial
     */
    public boolean tryBeginTrial(String fingerprint, String request) {
        if (crashedTargets(fingerprint) == 0) {
            return true;
        }
        return request.equals(trialRequestByFingerprint.computeIfAbsent(fingerprint, f -> request));
    }

    /**
     * Records with another daemon on which targets a request is about to run. Must be called before the request is
     * sent.
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @param instanceIds instances of the targets
     */
    public void recordStart(String fingerprint, String request, List<String> instanceIds) {
        traces.begin(request, fingerprint, instanceIds);
    }

    /**
     * Records the end of a request and ends its trial, if it has one.
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @param completed whether the whole answer was delivered, which clears the request
     */
    public void recordEnd(String fingerprint, String request, boolean completed) {
        traces.end(request);
        endTrial(fingerprint, request, completed);
    }

    /**
     * Ends the trial of a request, if it has one. The request itself may continue.
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @param completed whether the trial crashed no target, which clears the request
     */
    public void endTrial(String fingerprint, String request, boolean completed) {
        if (!trialRequestByFingerprint.remove(fingerprint, request) || !completed) {
            return;
        }
        suspicions.remove(fingerprint);
        exposures.remove(fingerprint);
        broadcast(new PeerMessage.CrashCleared(fingerprint));
    }

    /**
     * Reserves a target for a suspect, so that no other suspect runs there. Does nothing for other requests.
     * @param fingerprint fingerprint of the request
     * @param target name of the target's VM
     */
    public void reserveTarget(String fingerprint, String target) {
        if (crashedTargets(fingerprint) > 0) {
            localTrialByTarget.putIfAbsent(target, fingerprint);
            broadcast(new PeerMessage.CrashTrial(fingerprint, target, TRIAL_TTL_MS));
        }
    }

    /**
     * Releases a target reserved by {@link #reserveTarget}.
     * @param fingerprint fingerprint of the request
     * @param target name of the target's VM
     */
    public void releaseTarget(String fingerprint, String target) {
        if (localTrialByTarget.remove(target, fingerprint)) {
            expiringTrialByTarget.put(
                    target, new ExpiringTrial(fingerprint, timers.nowMillis() + TRIAL_ATTRIBUTION_MS));
            broadcast(new PeerMessage.CrashTrial(fingerprint, target, TRIAL_ATTRIBUTION_MS));
        }
    }

    /**
     * Records that a target stopped answering while it ran a request, and broadcasts it.
     * @param fingerprint fingerprint of the request
     * @param instanceId instance of the target
     */
    public void recordExposure(String fingerprint, String instanceId) {
        exposures.add(fingerprint, instanceId);
        broadcast(new PeerMessage.CrashExposure(fingerprint, instanceId));
    }

    /**
     * Records that a target crashed while it ran a request, although the crash is attributed to another request on
     * trial there. The crash counts once the request has crashed a target outside such a trial.
     * @param fingerprint fingerprint of the request
     * @param instanceId instance of the crashed target
     */
    public void recordCrashDuringTrial(String fingerprint, String instanceId) {
        exposures.addLost(fingerprint, instanceId);
        broadcast(new PeerMessage.CrashExposure(fingerprint, instanceId));
    }

    /**
     * Handles a state report of a target, which ends its exposures once it has had time to resume its work.
     * @param instanceId instance of the target
     */
    public void onTargetReport(String instanceId) {
        exposures.onTargetReport(instanceId);
    }

    /**
     * Handles the start or end of another daemon's trial on a target.
     * @param trial target, suspect and time for which the trial counts
     */
    public void onTrial(PeerMessage.CrashTrial trial) {
        expiringTrialByTarget.put(
                trial.target(), new ExpiringTrial(trial.fingerprint(), timers.nowMillis() + trial.lastsMillis()));
    }

    /**
     * Records that a target crashed while it ran a request, and reports it to the other daemons.
     * @param fingerprint fingerprint of the request
     * @param instanceId instance of the crashed target
     * @param onDone runs once every active daemon knows of the report
     */
    public void reportCrash(String fingerprint, String instanceId, Runnable onDone) {
        PeerMessage.CrashSuspect report =
                new PeerMessage.CrashSuspect(membership.self().id(), fingerprint, instanceId);
        addReport(report);
        traces.forEachTargetOfOthers(fingerprint, report.reporter(), this::recordExposure);
        timeline.record(EventKind.CRASH_SUSPECT_REPORTED, "fingerprint", fingerprint, "target", instanceId);
        ReportDelivery delivery = new ReportDelivery(report, onDone);
        reportDeliveries.add(delivery);
        delivery.send();
        delivery.finishIfDelivered();
    }

    /** Handles another daemon's report, which a witness may have forwarded. */
    public void onCrashReport(PeerMessage.CrashSuspect report) {
        addReport(report);
        List<String> otherTargets = new ArrayList<>();
        traces.forEachTargetOfOthers(report.fingerprint(), report.reporter(), (fingerprint, target) -> {
            exposures.add(fingerprint, target);
            otherTargets.add(target);
        });
        broadcast(new PeerMessage.CrashSuspectStored(
                membership.self().id(), report.fingerprint(), report.target(), otherTargets));
    }

    /** Handles the confirmation of a report. */
    public void onReportConfirmed(PeerMessage.CrashSuspectStored stored) {
        stored.elsewhere().forEach(target -> exposures.add(stored.fingerprint(), target));
        Suspicion suspicion = suspicions.get(stored.fingerprint());
        if (suspicion != null) {
            suspicion.confirmations.add(stored.from() + " " + stored.target());
        }
        for (ReportDelivery delivery : List.copyOf(reportDeliveries)) {
            delivery.finishIfDelivered();
        }
    }

    /** Handles an exposure recorded by another daemon. */
    public void onExposure(PeerMessage.CrashExposure message) {
        exposures.add(message.fingerprint(), message.target());
    }

    /** Stores on which targets another daemon runs a request. */
    public void onTrace(PeerMessage.CrashTrace trace) {
        traces.onTrace(trace);
    }

    /** Removes the traces of another daemon's requests that have ended. */
    public void onTracesEnded(PeerMessage.CrashTracesEnded message) {
        traces.onEnded(message);
    }

    /**
     * Handles the end of a trial that crashed no target. Clears the suspect unless it has reached the crash limit.
     * @param message fingerprint of the suspect
     */
    public void onCleared(PeerMessage.CrashCleared message) {
        if (crashedTargets(message.fingerprint()) < MAX_CRASHED_TARGETS) {
            suspicions.remove(message.fingerprint());
            exposures.remove(message.fingerprint());
        }
    }

    // Helpers

    /** Sends a member the reports that it has not confirmed; returns true when there are none. */
    private boolean sendUnconfirmedReports(Member member) {
        boolean allConfirmed = true;
        long now = timers.nowMillis();
        suspicions.values().removeIf(s -> s.expiresAt <= now);
        for (Suspicion suspicion : suspicions.values()) {
            for (PeerMessage.CrashSuspect report : suspicion.reports.values()) {
                if (!hasConfirmed(suspicion, report, member)) {
                    peers.send(member.peerAddress(), report);
                    allConfirmed = false;
                }
            }
        }
        return allConfirmed;
    }

    private static boolean hasConfirmed(Suspicion suspicion, PeerMessage.CrashSuspect report, Member member) {
        return report.reporter().equals(member.id())
                || suspicion.confirmations.contains(member.id() + " " + report.target());
    }

    /** Returns whether this daemon has precedence on a target, so that no two begin trials on it at the same time. */
    private boolean hasPrecedenceOn(String target) {
        return Ownership.ownerOf(membership.head(), "trial/" + target)
                .filter(m -> m.id().equals(membership.self().id()))
                .isPresent();
    }

    private boolean ownsTrial(String fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null
                && suspicion.reporters.first().equals(membership.self().id());
    }

    private void broadcast(PeerMessage message) {
        others().forEach(member -> peers.send(member.peerAddress(), message));
    }

    private List<Member> others() {
        Head head = membership.head();
        return head.members().stream()
                .filter(m -> !m.id().equals(membership.self().id()))
                .toList();
    }

    /** Returns whether a request has reached the crash limit, counting exposed targets that did not recover. */
    private boolean hasReachedCrashLimit(String fingerprint) {
        int crashed = crashedTargets(fingerprint);
        return crashed > 0
                && crashed + exposures.countLost(fingerprint, crashedTargetsOf(fingerprint)) >= MAX_CRASHED_TARGETS;
    }

    private int openExposures(String fingerprint) {
        return exposures.countOpen(fingerprint, crashedTargetsOf(fingerprint));
    }

    private Set<String> crashedTargetsOf(String fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null ? Set.of() : suspicion.crashedTargets;
    }

    private void addReport(PeerMessage.CrashSuspect report) {
        Suspicion suspicion = suspicions.computeIfAbsent(report.fingerprint(), f -> new Suspicion());
        suspicion.expiresAt = timers.nowMillis() + SUSPICION_TTL_MS;
        suspicion.crashedTargets.add(report.target());
        suspicion.reporters.add(report.reporter());
        suspicion.reports.putIfAbsent(report.target(), report);
        dropOldest(suspicions);
    }

    private static void dropOldest(Map<String, ?> map) {
        if (map.size() > MAX_SUSPECTS) {
            map.remove(map.keySet().iterator().next());
        }
    }

    private void resend() {
        for (ReportDelivery delivery : List.copyOf(reportDeliveries)) {
            delivery.send();
            delivery.finishIfDelivered();
        }
    }

    /** A report of this daemon that is being delivered to all others. */
    private final class ReportDelivery {
        private final PeerMessage.CrashSuspect report;
        private final Runnable onDone;
        private long majorityInformedAt = Long.MAX_VALUE;

        ReportDelivery(PeerMessage.CrashSuspect report, Runnable onDone) {
            this.report = report;
            this.onDone = onDone;
        }

        void send() {
            for (Member member : others()) {
                if (!hasReport(member)) {
                    peers.send(member.peerAddress(), report);
                }
            }
        }

        /**
         * Finishes when all members have the report, or when a majority of witnesses has had it for so long that the
         * members without it no longer hold a quorum lease.
         */
        void finishIfDelivered() {
            Head head = membership.head();
            long informedWitnesses =
                    head.witnesses().stream().filter(this::hasReport).count();
            if (2 * informedWitnesses > head.witnesses().size() && majorityInformedAt == Long.MAX_VALUE) {
                majorityInformedAt = timers.nowMillis();
            }
            boolean othersLostLease = majorityInformedAt
                    <= timers.nowMillis() - Membership.QUORUM_LEASE_MS - Membership.HEARTBEAT_INTERVAL_MS;
            if ((head.members().stream().allMatch(this::hasReport) || othersLostLease)
                    && reportDeliveries.remove(this)) {
                onDone.run();
            }
        }

        private boolean hasReport(Member member) {
            Suspicion suspicion = suspicions.get(report.fingerprint());
            return suspicion == null
                    || member.id().equals(membership.self().id())
                    || hasConfirmed(suspicion, report, member);
        }
    }
}
