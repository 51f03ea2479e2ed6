package org.siskinlead.core.forwarding;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.crash.CrashAttribution;
import org.siskinlead.core.crash.CrashReports;
import org.siskinlead.core.crash.CrashWeight;
import org.siskinlead.core.crash.Suspect;
import org.siskinlead.core.crash.UnansweredSends;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Connects the forwarded requests with the evidence about crashes: which of them may have caused one, which have shown
 * that they do not, and which are blocked.
 */
final class CrashWatch {
    private static final String PART_DETAIL = "targets crashed while they ran requests with a part of this prompt";
    private static final String REQUEST_DETAIL = "targets crashed while running this request";
    private static final String NOTICE_PREFIX = "notice-";
    /** Odds at which a trait is blocked. */
    private static final double BLOCKING_ODDS = 200;
    /** Shortest time after which the caller of a blocked request may try again. */
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private final Timeline timeline;
    private final CrashAttribution attribution;
    private final UnansweredSends unanswered;
    private final String attemptPrefix;
    private @Nullable CrashReports reports;
    private long attempts;
    private Set<String> loggedBlocked = Set.of();

    /** What shows that a target has crashed. */
    enum Evidence {
        /** It refuses connections, or another instance answers. */
        DOWN,
        /** Its entry names another lifetime. */
        RESTARTED,
        /** Its entry was removed. */
        GONE,
        /** Another daemon has reported it. */
        REPORTED
    }

    CrashWatch(Timers timers, Timeline timeline, String attemptPrefix) {
        this.timeline = timeline;
        this.attribution = CrashAttribution.of(timers, CrashWeight.likelihoodRatio(BLOCKING_ODDS));
        this.unanswered = UnansweredSends.of(timers);
        this.attemptPrefix = attemptPrefix;
    }

    void setReports(CrashReports exchange) {
        reports = exchange;
    }

    // Queries

    /** Tells whether a request must not be sent, because it is likely to crash its target. */
    boolean isBlocked(AdmittedRequest request) {
        return attribution.hasBlocked() && !request.isTrial() && attribution.isBlocked(request.traits());
    }

    /** Tells whether a shared part of the request's prompt is accused of another crash than that of an instance. */
    boolean isAccusedBesides(AdmittedRequest request, String instanceId) {
        return attribution.isAccusedBesides(request.parts(), instanceId);
    }

    /** Lists the sends that an instance of a target left without an answer. */
    List<Suspect> unansweredOn(String instanceId) {
        return unanswered.on(instanceId);
    }

    /** Says why a blocked request is not sent. */
    String blockedDetail(AdmittedRequest request) {
        return request.parts().isEmpty() ? REQUEST_DETAIL : PART_DETAIL;
    }

    /** Creates the refusal of a blocked request, which asks the caller to wait for the next trial as far as it has time. */
    Refusal refusal(AdmittedRequest request, long callerLeftMillis) {
        return Refusal.notRun(
                request.parts().isEmpty() ? RefusalCode.TARGET_CRASHES : RefusalCode.PROMPT_PART_BLOCKED,
                blockedDetail(request),
                RetryAfter.within(
                        Math.max(MIN_RETRY_AFTER_MS, attribution.millisToTrial(request.traits())), callerLeftMillis));
    }

    // Commands

    /** Describes a send whose answer has not begun as a suspect of a crash. */
    Suspect newSuspect(AdmittedRequest request) {
        return new Suspect(attemptPrefix + attempts++, request.traits());
    }

    /**
     * Describes requests as suspects by the fingerprints that a down notice of another daemon names. Each fingerprint is one
     * suspect, however many notices of the crash name it.
     */
    static List<Suspect> suspectsOf(String instanceId, Collection<String> fingerprints) {
        return fingerprints.stream()
                .map(f -> new Suspect(NOTICE_PREFIX + instanceId + "-" + f, Set.of(Suspect.request(f))))
                .toList();
    }

    /** Records that targets have survived a request: they have answered it, or lived on after they began to. */
    void onProven(AdmittedRequest request, Collection<String> instanceIds, long sentAt) {
        if (!unanswered.isEmpty()) {
            instanceIds.forEach(instanceId -> unanswered.onAnswered(instanceId, sentAt));
        }
        if (request.parts().isEmpty() && !attribution.hasCrashes()) {
            return;
        }
        reportCleared(attribution.onStarted(attribution.hasCrashes() ? request.traits() : request.parts()));
        logBlocked();
    }

    /** Records a send that ended without an answer. */
    void onUnanswered(Collection<String> instanceIds, Suspect suspect, long sentAt) {
        unanswered.add(instanceIds, suspect, sentAt);
    }

    /** Records a crash and reports it to the other daemons. */
    void onOwnCrash(String instanceId, Collection<Suspect> suspects, Evidence evidence) {
        CrashReports exchange = reports;
        if (suspects.isEmpty() || (exchange != null && !exchange.reportCrash(instanceId, suspects))) {
            return;
        }
        timeline.record(
                EventKind.CRASH_SUSPECT_REPORTED,
                "target",
                instanceId,
                "evidence",
                evidence,
                "suspects",
                suspects.size(),
                "traits",
                allTraits(suspects));
        onCrash(instanceId, suspects);
    }

    /** Records suspects that another daemon has reported. */
    void onCrash(String instanceId, Collection<Suspect> suspects) {
        reportCleared(attribution.onCrash(instanceId, suspects));
        logBlocked();
    }

    /** Records that an instance that was taken for lost is the same as before. */
    void onSurvived(String instanceId) {
        attribution.onSurvived(instanceId);
        CrashReports exchange = reports;
        if (exchange != null) {
            exchange.withdraw(instanceId);
        }
        logBlocked();
    }

    private void reportCleared(Map<String, Set<String>> cleared) {
        CrashReports exchange = reports;
        if (exchange != null) {
            cleared.forEach(exchange::reportCleared);
        }
    }

    /** Records that another daemon has cleared a trait. */
    void onCleared(String trait, Collection<String> instanceIds) {
        attribution.onCleared(trait, instanceIds);
        logBlocked();
    }

    /** Asks for permission to send a blocked request after all, once in a while and once for all daemons. */
    void requestTrial(AdmittedRequest request, Consumer<Boolean> onResult) {
        CrashReports exchange = reports;
        attribution
                .dueTrial(request.traits())
                .filter(trial -> exchange != null)
                .ifPresentOrElse(
                        trial -> {
                            timeline.record(
                                    EventKind.PROMPT_PART_TRIED,
                                    "request",
                                    request.request().id(),
                                    "trait",
                                    trial.trait(),
                                    "crashes",
                                    trial.crashes());
                            if (exchange != null) {
                                exchange.claim(trial, onResult);
                            }
                        },
                        () -> onResult.accept(false));
    }

    private static String allTraits(Collection<Suspect> suspects) {
        Set<String> traits = new TreeSet<>();
        suspects.forEach(s -> traits.addAll(s.traits()));
        return String.join(",", traits);
    }

    private void logBlocked() {
        if (!attribution.hasBlocked() && loggedBlocked.isEmpty()) {
            return;
        }
        Set<String> now = attribution.blockedTraits();
        if (!now.equals(loggedBlocked)) {
            timeline.record(
                    EventKind.PROMPT_PARTS_BLOCKED,
                    "traits",
                    String.join(",", now),
                    "before",
                    String.join(",", loggedBlocked));
            loggedBlocked = now;
        }
    }
}
