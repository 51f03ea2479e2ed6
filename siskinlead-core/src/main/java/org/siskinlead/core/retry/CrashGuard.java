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
 * Remembers which requests were running on targets that died, over all daemons. A request seen on one dead target is a
 * suspect: only the daemon that reported it tries it once more, alone and on targets without another suspect, and only
 * after every daemon that may act knows of it. If that trial ends well the request is cleared, otherwise it runs no more
 * for a while. A target that stopped answering while it ran a request is an exposure: it may yet die of it when it goes
 * on, so exposures count as dead once the request has taken down one target.
 */
public final class CrashGuard {
    /** Targets that a request may take down before it is refused. */
    public static final int MAX_DEAD_TARGETS = 2;
    /** How long a suspicion lasts. */
    public static final long SUSPICION_MS = 600_000;

    /** How long a target's death is put down to a trial after the trial has left it. */
    private static final long TRIAL_BLAME_MS = 500;

    /** How long a daemon leaves targets to the daemon that goes first there. */
    private static final long GO_FIRST_MS = 150;

    private static final long TRIAL_LIFE_MS = 60_000;
    private static final long TRIAL_COME_BACK_MS = 2_000;
    private static final long RESEND_MS = 100;
    private static final int MAX_SUSPECTS = 10_000;

    private final Membership membership;
    private final Peers peers;
    private final Timers timers;
    private final Timeline timeline;
    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();
    private final Exposures exposures;
    private final Traces traces;
    private final Map<String, OtherTrial> otherTrials = new HashMap<>();
    private final Map<String, String> exclusive = new HashMap<>();
    private final Map<String, String> trials = new HashMap<>();
    private final List<Spread> spreads = new ArrayList<>();

    /** Whether a request may run. */
    public enum Verdict {
        /** It may. */
        RUN,
        /** It may once a target that stopped answering has gone on or died. */
        WAIT,
        /** It may not: it has harmed as many targets as it may, or another daemon tries it. */
        REFUSE
    }

    /** A trial that another daemon runs on a target. */
    private record OtherTrial(String fingerprint, long until) {}

    /** What is known of one suspect. */
    private static final class Suspicion {
        private final Map<String, PeerMessage.CrashSuspect> reports = new LinkedHashMap<>();
        private final Set<String> deadTargets = new LinkedHashSet<>();
        private final TreeSet<String> reporters = new TreeSet<>();
        private final Set<String> informed = new HashSet<>();
        private long until;
    }

    private CrashGuard(Membership membership, Peers peers, Timers timers, Timeline timeline) {
        this.membership = membership;
        this.peers = peers;
        this.timers = timers;
        this.timeline = timeline;
        this.exposures = new Exposures(timers);
        this.traces = Traces.of(membership, peers, timers);
    }

    /**
     * Creates a guard that makes witnesses vouch only for daemons that know all suspects.
     * @param membership who must hear of suspects
     * @param peers way to them
     * @param timers time
     * @param timeline where events go
     * @return the guard
     */
    public static CrashGuard of(Membership membership, Peers peers, Timers timers, Timeline timeline) {
        CrashGuard guard = new CrashGuard(membership, peers, timers, timeline);
        membership.setVouchCondition(guard::inform);
        timers.every(RESEND_MS, guard::resend);
        return guard;
    }

    // Queries

    /**
     * Counts the targets that died while they ran a request.
     * @param fingerprint fingerprint of the request
     * @return number of dead targets
     */
    public int deadTargets(String fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion == null || suspicion.until <= timers.nowMillis()) {
            return 0;
        }
        return suspicion.deadTargets.size();
    }

    /**
     * Tells whether a request may run on this daemon.
     * @param fingerprint fingerprint of the request
     * @return the verdict
     */
    public Verdict verdict(String fingerprint) {
        if (deadTargets(fingerprint) == 0) {
            return Verdict.RUN;
        }
        if (hasHarmedTooMany(fingerprint) || !isTriedHere(fingerprint)) {
            return Verdict.REFUSE;
        }
        return openExposures(fingerprint) == 0 ? Verdict.RUN : Verdict.WAIT;
    }

    /**
     * Tells whether a target's death is put down to a suspect on trial there.
     * @param fingerprint fingerprint of a request that was running on the target
     * @param target name of the target's VM
     * @return true when the request is no suspect and another one is on trial on the target
     */
    public boolean blamesTrial(String fingerprint, String target) {
        if (deadTargets(fingerprint) > 0) {
            return false;
        }
        OtherTrial other = otherTrials.get(target);
        return exclusive.containsKey(target) || (other != null && other.until() > timers.nowMillis());
    }

    /**
     * Gets when a refused request may come back.
     * @param fingerprint fingerprint of the request
     * @return milliseconds
     */
    public long comeBackMillis(String fingerprint) {
        if (hasHarmedTooMany(fingerprint)) {
            return SUSPICION_MS;
        }
        return openExposures(fingerprint) > 0 ? Exposures.LIFE_MS : TRIAL_COME_BACK_MS;
    }

    /**
     * Tells whether a request may run on a target.
     * @param fingerprint fingerprint of the request
     * @param target name of the target's VM
     * @param waitedMillis how long the request has looked for targets, in milliseconds
     * @return false when the request is a suspect and another suspect runs there, or when another daemon goes first
     */
    public boolean mayUse(String fingerprint, String target, long waitedMillis) {
        if (deadTargets(fingerprint) == 0) {
            return true;
        }
        if (exclusive.containsKey(target)) {
            return fingerprint.equals(exclusive.get(target));
        }
        OtherTrial other = otherTrials.get(target);
        boolean triedElsewhere = other != null
                && other.until() > timers.nowMillis()
                && !other.fingerprint().equals(fingerprint);
        return !triedElsewhere && (waitedMillis >= GO_FIRST_MS || goesFirstOn(target));
    }

    // Commands

    /**
     * Begins the trial of a suspect; a request that is no suspect needs none.
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @return false while another request with this fingerprint is on trial
     */
    public boolean tryBegin(String fingerprint, String request) {
        if (deadTargets(fingerprint) == 0) {
            return true;
        }
        return request.equals(trials.computeIfAbsent(fingerprint, f -> request));
    }

    /**
     * Notes with another daemon on which targets a request begins to run; called before it is sent to them.
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @param targets identities of the targets
     */
    public void begin(String fingerprint, String request, List<String> targets) {
        traces.begin(request, fingerprint, targets);
    }

    /**
     * Ends a request, and with it a trial that it may have been.
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @param completed whether its whole answer was delivered, which clears it
     */
    public void end(String fingerprint, String request, boolean completed) {
        traces.end(request);
        endTrial(fingerprint, request, completed);
    }

    /**
     * Ends the trial that a request may have been; the request itself may go on.
     * @param fingerprint fingerprint of the request
     * @param request identifier of the request
     * @param completed whether it did no harm, which clears it
     */
    public void endTrial(String fingerprint, String request, boolean completed) {
        if (!trials.remove(fingerprint, request) || !completed) {
            return;
        }
        suspicions.remove(fingerprint);
        exposures.forget(fingerprint);
        announce(new PeerMessage.CrashCleared(fingerprint));
    }

    /**
     * Keeps other suspects off a target while this one runs there.
     * @param fingerprint fingerprint of the request
     * @param target name of the target's VM
     */
    public void enter(String fingerprint, String target) {
        if (deadTargets(fingerprint) > 0) {
            exclusive.putIfAbsent(target, fingerprint);
            announce(new PeerMessage.CrashTrial(fingerprint, target, TRIAL_LIFE_MS));
        }
    }

    /**
     * Ends what {@link #enter} began.
     * @param fingerprint fingerprint of the request
     * @param target name of the target's VM
     */
    public void leave(String fingerprint, String target) {
        if (exclusive.remove(target, fingerprint)) {
            otherTrials.put(target, new OtherTrial(fingerprint, timers.nowMillis() + TRIAL_BLAME_MS));
            announce(new PeerMessage.CrashTrial(fingerprint, target, TRIAL_BLAME_MS));
        }
    }

    /**
     * Records that a target stopped answering while it ran a request, and tells the other daemons.
     * @param fingerprint fingerprint of the request
     * @param target identity of the target
     */
    public void expose(String fingerprint, String target) {
        exposures.note(fingerprint, target);
        announce(new PeerMessage.CrashExposure(fingerprint, target));
    }

    /**
     * Records that a target died while it ran a request, though another request on trial there has the blame. It counts
     * once the request has taken down a target without such an excuse.
     * @param fingerprint fingerprint of the request
     * @param target identity of the dead target
     */
    public void exposeToDeath(String fingerprint, String target) {
        exposures.noteLost(fingerprint, target);
        announce(new PeerMessage.CrashExposure(fingerprint, target));
    }

    /**
     * Notes that a target reported, which ends exposures once it has had time to go on with its work.
     * @param target identity of the target
     */
    public void onReport(String target) {
        exposures.onReport(target);
    }

    /**
     * Takes the news that another daemon tries a suspect on a target, or has ended that.
     * @param trial the news
     */
    public void onTrial(PeerMessage.CrashTrial trial) {
        otherTrials.put(trial.target(), new OtherTrial(trial.fingerprint(), timers.nowMillis() + trial.lastsMillis()));
    }

    /**
     * Records that a target died while it ran a request, and tells the other daemons.
     * @param fingerprint fingerprint of the request
     * @param target identity of the dead target
     * @param onDone runs once no daemon that does not know of it may act
     */
    public void report(String fingerprint, String target, Runnable onDone) {
        PeerMessage.CrashSuspect report =
                new PeerMessage.CrashSuspect(membership.self().id(), fingerprint, target);
        note(report);
        traces.forEachElsewhere(fingerprint, report.reporter(), this::expose);
        timeline.record(EventKind.CRASH_SUSPECT_REPORTED, "fingerprint", fingerprint, "target", target);
        Spread spread = new Spread(report, onDone);
        spreads.add(spread);
        spread.send();
        spread.finishIfKnown();
    }

    /**
     * Takes another daemon's report, perhaps passed on by a witness.
     * @param report the report
     */
    public void onSuspect(PeerMessage.CrashSuspect report) {
        note(report);
        List<String> elsewhere = new ArrayList<>();
        traces.forEachElsewhere(report.fingerprint(), report.reporter(), (fingerprint, target) -> {
            exposures.note(fingerprint, target);
            elsewhere.add(target);
        });
        announce(new PeerMessage.CrashSuspectStored(
                membership.self().id(), report.fingerprint(), report.target(), elsewhere));
    }

    /**
     * Takes a confirmation of a report.
     * @param stored the confirmation
     */
    public void onStored(PeerMessage.CrashSuspectStored stored) {
        stored.elsewhere().forEach(target -> exposures.note(stored.fingerprint(), target));
        Suspicion suspicion = suspicions.get(stored.fingerprint());
        if (suspicion != null) {
            suspicion.informed.add(stored.from() + " " + stored.target());
        }
        for (Spread spread : List.copyOf(spreads)) {
            spread.finishIfKnown();
        }
    }

    /**
     * Takes another daemon's exposure.
     * @param message the exposure
     */
    public void onExposure(PeerMessage.CrashExposure message) {
        exposures.note(message.fingerprint(), message.target());
    }

    /**
     * Keeps on which targets another daemon runs a request.
     * @param trace the news
     */
    public void onTrace(PeerMessage.CrashTrace trace) {
        traces.onTrace(trace);
    }

    /**
     * Forgets requests of another daemon that have ended.
     * @param message the news
     */
    public void onTracesEnded(PeerMessage.CrashTracesEnded message) {
        traces.onEnded(message);
    }

    /**
     * Takes the news that a suspect was tried and did no harm.
     * @param message the news
     */
    public void onCleared(PeerMessage.CrashCleared message) {
        if (deadTargets(message.fingerprint()) < MAX_DEAD_TARGETS) {
            suspicions.remove(message.fingerprint());
            exposures.forget(message.fingerprint());
        }
    }

    // Helpers

    /** Sends a member the reports that it has not confirmed; true when there are none. */
    private boolean inform(Member member) {
        boolean informed = true;
        long now = timers.nowMillis();
        suspicions.values().removeIf(s -> s.until <= now);
        for (Suspicion suspicion : suspicions.values()) {
            for (PeerMessage.CrashSuspect report : suspicion.reports.values()) {
                if (!isInformed(suspicion, report, member)) {
                    peers.send(member.peerAddress(), report);
                    informed = false;
                }
            }
        }
        return informed;
    }

    private static boolean isInformed(Suspicion suspicion, PeerMessage.CrashSuspect report, Member member) {
        return report.reporter().equals(member.id())
                || suspicion.informed.contains(member.id() + " " + report.target());
    }

    /** Spreads the targets over the daemons, so that two daemons do not begin trials on one target at the same time. */
    private boolean goesFirstOn(String target) {
        return Ownership.ownerOf(membership.head(), "trial/" + target)
                .filter(m -> m.id().equals(membership.self().id()))
                .isPresent();
    }

    private boolean isTriedHere(String fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion != null
                && suspicion.reporters.first().equals(membership.self().id());
    }

    private void announce(PeerMessage message) {
        others().forEach(member -> peers.send(member.peerAddress(), message));
    }

    private List<Member> others() {
        Head head = membership.head();
        return head.members().stream()
                .filter(m -> !m.id().equals(membership.self().id()))
                .toList();
    }

    /** Tells whether a request has taken down as many targets as it may, those that were not heard again among them. */
    private boolean hasHarmedTooMany(String fingerprint) {
        int dead = deadTargets(fingerprint);
        return dead > 0 && dead + exposures.lost(fingerprint, deadTargetsOf(fingerprint)) >= MAX_DEAD_TARGETS;
    }

    private int openExposures(String fingerprint) {
        return exposures.open(fingerprint, deadTargetsOf(fingerprint));
    }

    private Set<String> deadTargetsOf(String fingerprint) {
        Suspicion suspicion = suspicions.get(fingerprint);
        return suspicion == null ? Set.of() : suspicion.deadTargets;
    }

    private void note(PeerMessage.CrashSuspect report) {
        Suspicion suspicion = suspicions.computeIfAbsent(report.fingerprint(), f -> new Suspicion());
        suspicion.until = timers.nowMillis() + SUSPICION_MS;
        suspicion.deadTargets.add(report.target());
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
        for (Spread spread : List.copyOf(spreads)) {
            spread.send();
            spread.finishIfKnown();
        }
    }

    /** One report of this daemon on its way to all others. */
    private final class Spread {
        private final PeerMessage.CrashSuspect report;
        private final Runnable onDone;
        private long knownByMajorityAt = Long.MAX_VALUE;

        Spread(PeerMessage.CrashSuspect report, Runnable onDone) {
            this.report = report;
            this.onDone = onDone;
        }

        void send() {
            for (Member member : others()) {
                if (!knows(member)) {
                    peers.send(member.peerAddress(), report);
                }
            }
        }

        /** Finishes when all know, or when those that do not have lost the vouches of a majority of witnesses. */
        void finishIfKnown() {
            Head head = membership.head();
            long witnesses = head.witnesses().stream().filter(this::knows).count();
            if (2 * witnesses > head.witnesses().size() && knownByMajorityAt == Long.MAX_VALUE) {
                knownByMajorityAt = timers.nowMillis();
            }
            boolean othersLostStanding = knownByMajorityAt
                    <= timers.nowMillis() - Membership.QUORUM_LEASE_MS - Membership.HEARTBEAT_INTERVAL_MS;
            if ((head.members().stream().allMatch(this::knows) || othersLostStanding) && spreads.remove(this)) {
                onDone.run();
            }
        }

        private boolean knows(Member member) {
            Suspicion suspicion = suspicions.get(report.fingerprint());
            return suspicion == null
                    || member.id().equals(membership.self().id())
                    || isInformed(suspicion, report, member);
        }
    }
}
