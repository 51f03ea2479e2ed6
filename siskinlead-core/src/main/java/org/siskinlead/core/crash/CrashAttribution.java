package org.siskinlead.core.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.siskinlead.core.time.Timers;

/**
 * Finds the traits that crash targets. Each crash accuses the traits of all its suspects; an answer that is written on a
 * target that lives clears the traits of its request. A crash that one trait explains better is no evidence against the
 * others. Traits that cannot be told apart are blocked only together, so requests that have one of them can still clear
 * it.
 */
public final class CrashAttribution {
    /** Crashes after which a trait can be blocked. */
    private static final int MIN_CRASHES = 2;
    /** Crashes after which requests are blocked that were running at the same crashes and cannot be told apart. */
    private static final int MIN_CRASHES_OF_SIMILAR_REQUESTS = 3;
    /** Crashes after which a blocked trait gets no further trial. */
    private static final int MAX_CRASHES_FOR_TRIAL = 5;

    private static final int MAX_CRASHES_FOR_TRIAL_OF_REQUEST = 2;
    /** Time from the last crash to the first trial of a blocked trait; each later one waits three times as long. */
    private static final long FIRST_TRIAL_DELAY_MS = 20_000;

    private static final int TRIAL_DELAY_FACTOR = 3;
    /** Time for which a crash is remembered. */
    public static final long CRASH_TTL_MS = 600_000;

    private static final int MAX_CRASHES = 1_000;
    private static final int MAX_COUNTED_TRAITS = 20_000;
    /** Starts and odds assumed before any was seen: a trait that never started is rare, but not impossible. */
    private static final double PRIOR_STARTS = 50;

    private static final double PRIOR_STARTS_OF_TRAIT = 0.5;
    /** The same for whole requests, of which most are rare. */
    private static final double PRIOR_STARTS_OF_REQUESTS = 1_000;

    private static final int MAX_COUNTED_REQUESTS = 5_000;
    /** Time within which another daemon still reports a crash of an instance whose return it has not seen. */
    static final long LATE_REPORT_MS = 5_000;

    private static final int MAX_SURVIVORS = 1_000;
    private static final double TIE = 1e-9;

    private final Timers timers;
    private final CrashWeight weight;
    private final Map<String, Crash> crashes = new LinkedHashMap<>();
    private final Map<String, String> crashByAttempt = new HashMap<>();
    private final Map<String, Set<String>> clearedByTrait = new HashMap<>();
    /** The part of {@code clearedByTrait} that was observed here, for whole requests. */
    private final Map<String, Set<String>> clearedHere = new HashMap<>();
    /** Number of crashes at which a trait was a suspect, cleared of them or not. */
    private final Map<String, Integer> crashCountByTrait = new HashMap<>();
    /** Traits that were suspects at so many crashes that they can be blocked. */
    private final Set<String> repeatedSuspects = new HashSet<>();
    /** Times at which instances that were taken for crashed turned out to be running, by instance. */
    private final Map<String, Long> survivedAt = bounded(MAX_SURVIVORS);

    private final Map<String, Integer> startsByTrait = bounded(MAX_COUNTED_TRAITS);
    private long startCount;
    /** Starts of whole requests, counted while any crash is remembered. */
    private final Map<String, Integer> startsByRequest = bounded(MAX_COUNTED_REQUESTS);

    private long requestStartCount;
    /** For each blocked trait, the traits from which it cannot be told apart, itself included. */
    private Map<String, Set<String>> blocked = Map.of();

    /** Crash of one instance of a target, and what it accuses. */
    private static final class Crash {
        private final long at;
        private final Set<String> attempts = new HashSet<>();
        private final Set<String> traits = new HashSet<>();

        Crash(long at) {
            this.at = at;
        }
    }

    /**
     * A request by which a blocked trait may be tried again.
     * @param trait a trait of the request
     * @param crashes crashes that accuse it
     */
    public record Trial(String trait, int crashes) {}

    private CrashAttribution(Timers timers, CrashWeight weight) {
        this.timers = timers;
        this.weight = weight;
    }

    /**
     * Creates an attribution without evidence.
     * @param timers clock
     * @param weight how much a crash counts
     * @return the attribution
     */
    public static CrashAttribution of(Timers timers, CrashWeight weight) {
        return new CrashAttribution(timers, weight);
    }

    // Queries

    /**
     * Checks whether any crash is remembered.
     * @return true if the traits of whole requests are of interest
     */
    public boolean hasCrashes() {
        return !crashes.isEmpty();
    }

    /**
     * Checks whether any trait is blocked.
     * @return true if {@link #isBlocked} can be true
     */
    public boolean hasBlocked() {
        return !blocked.isEmpty();
    }

    /**
     * Checks whether a request is likely to crash the target that runs it.
     * @param traits traits of the request
     * @return true if it has a blocked trait and all those from which this one cannot be told apart
     */
    public boolean isBlocked(Set<String> traits) {
        return traits.stream().anyMatch(t -> isBlockedWith(t, traits));
    }

    private boolean isBlockedWith(String trait, Set<String> traits) {
        Set<String> alike = blocked.get(trait);
        return alike != null && traits.containsAll(alike);
    }

    /**
     * Lists the blocked traits.
     * @return traits, in their order
     */
    public Set<String> blockedTraits() {
        return new TreeSet<>(blocked.keySet());
    }

    /**
     * Checks whether another crash accuses one of the traits, which has not been cleared of it.
     * @param traits traits of a suspect
     * @param instanceId instance whose crash is left out
     * @return true if there is such a crash
     */
    public boolean isAccusedBesides(Collection<String> traits, String instanceId) {
        return traits.stream().flatMap(t -> crashesAccusing(t).stream()).anyMatch(id -> !id.equals(instanceId));
    }

    /**
     * Finds out whether a blocked request may be tried again, to find a trait that was blocked by mistake.
     * @param traits traits of the request
     * @return the trial, empty while none is due
     */
    public Optional<Trial> dueTrial(Set<String> traits) {
        for (String trait : new TreeSet<>(traits)) {
            if (!isBlockedWith(trait, traits)) {
                continue;
            }
            if (mixesPartsAndRequests(blocked.getOrDefault(trait, Set.of()))
                    || timers.nowMillis() < trialDueAt(trait)) {
                return Optional.empty();
            }
            return Optional.of(new Trial(trait, crashesAccusing(trait).size()));
        }
        return Optional.empty();
    }

    /** Tells whether traits that cannot be told apart are a request and its parts, so that a trial could not tell which it tried. */
    private static boolean mixesPartsAndRequests(Set<String> alike) {
        return alike.stream().anyMatch(Suspect::isRequest) && !alike.stream().allMatch(Suspect::isRequest);
    }

    /**
     * Gets the time to the next trial of a blocked request.
     * @param traits traits of the request
     * @return milliseconds, 0 when a trial is due or the request is not blocked; {@link #CRASH_TTL_MS} at most
     */
    public long millisToTrial(Set<String> traits) {
        return traits.stream()
                .filter(t -> isBlockedWith(t, traits))
                .mapToLong(t -> Math.min(CRASH_TTL_MS, Math.max(0, trialDueAt(t) - timers.nowMillis())))
                .max()
                .orElse(0);
    }

    private long trialDueAt(String trait) {
        Set<String> accusing = crashesAccusing(trait);
        int maxCrashes = Suspect.isRequest(trait) ? MAX_CRASHES_FOR_TRIAL_OF_REQUEST : MAX_CRASHES_FOR_TRIAL;
        if (accusing.size() > maxCrashes) {
            return Long.MAX_VALUE;
        }
        long lastAt = accusing.stream()
                .map(crashes::get)
                .mapToLong(c -> c == null ? 0 : c.at)
                .max()
                .orElse(0);
        long delay = FIRST_TRIAL_DELAY_MS;
        for (int i = MIN_CRASHES; i < accusing.size(); i++) {
            delay *= TRIAL_DELAY_FACTOR;
        }
        return lastAt + delay;
    }

    // Commands

    /**
     * Records a crash. Reports of several daemons about the same crash add up.
     * @param instanceId instance of the target
     * @param suspects requests that may have caused it
     * @return earlier crashes of which suspected requests have been cleared here, by trait, which others must know now
     */
    public Map<String, Set<String>> onCrash(String instanceId, Collection<Suspect> suspects) {
        expire();
        if (suspects.isEmpty() || hasJustSurvived(instanceId)) {
            return Map.of();
        }
        Crash crash = crashes.computeIfAbsent(instanceId, id -> new Crash(timers.nowMillis()));
        for (Suspect suspect : suspects) {
            // A request that passes through several crashed engines accuses its traits once.
            String first = crashByAttempt.putIfAbsent(suspect.attempt(), instanceId);
            if (first == null || first.equals(instanceId)) {
                crash.attempts.add(suspect.attempt());
                for (String trait : suspect.traits()) {
                    if (crash.traits.add(trait) && crashCountByTrait.merge(trait, 1, Integer::sum) >= MIN_CRASHES) {
                        repeatedSuspects.add(trait);
                    }
                }
            }
        }
        evaluate();
        Map<String, Set<String>> cleared = new HashMap<>();
        for (String trait : repeatedSuspects) {
            Set<String> here = clearedHere.get(trait);
            if (here != null && crash.traits.contains(trait)) {
                cleared.put(trait, Set.copyOf(here));
            }
        }
        return cleared;
    }

    /**
     * Handles that an instance that was taken for crashed is running, so that nothing is accused of its crash.
     * @param instanceId instance of the target
     */
    public void onSurvived(String instanceId) {
        survivedAt.put(instanceId, timers.nowMillis());
        Crash crash = crashes.remove(instanceId);
        if (crash != null) {
            forget(instanceId, crash);
            evaluate();
        }
    }

    private boolean hasJustSurvived(String instanceId) {
        Long at = survivedAt.get(instanceId);
        return at != null && timers.nowMillis() - at < LATE_REPORT_MS;
    }

    /**
     * Records that a target has written a part of an answer, or all of it, and lives.
     * @param traits traits of the request; the request as a whole may be left out while no crash is remembered
     * @return the crashes of which each accused trait is cleared, by trait; empty if none was under serious suspicion
     */
    public Map<String, Set<String>> onStarted(Collection<String> traits) {
        Map<String, Set<String>> cleared = new HashMap<>();
        boolean changed = false;
        expire();
        countStart(traits);
        for (String trait : traits) {
            if (!crashCountByTrait.containsKey(trait)) {
                continue;
            }
            Set<String> accusing = crashesAccusing(trait);
            if (accusing.isEmpty()) {
                continue;
            }
            // All others need to know of it only once the trait is under serious suspicion.
            if (Suspect.isRequest(trait)) {
                clearedHere.computeIfAbsent(trait, t -> new HashSet<>()).addAll(accusing);
                if (repeatedSuspects.contains(trait)) {
                    cleared.put(trait, accusing);
                }
            } else if (score(trait, accusing) >= weight.threshold() / 2) {
                cleared.put(trait, accusing);
            }
            changed |= cleared.containsKey(trait) || blocked.containsKey(trait);
            clearedByTrait.computeIfAbsent(trait, t -> new HashSet<>()).addAll(accusing);
        }
        if (changed) {
            evaluate();
        }
        return cleared;
    }

    private void countStart(Collection<String> traits) {
        boolean hasPart = false;
        for (String trait : traits) {
            if (Suspect.isRequest(trait)) {
                startsByRequest.merge(trait, 1, Integer::sum);
                requestStartCount++;
            } else {
                startsByTrait.merge(trait, 1, Integer::sum);
                hasPart = true;
            }
        }
        if (hasPart) {
            startCount++;
        }
    }

    /**
     * Records that another daemon has cleared a trait of crashes.
     * @param trait the trait
     * @param instanceIds instances whose crashes it did not cause
     */
    public void onCleared(String trait, Collection<String> instanceIds) {
        clearedByTrait.computeIfAbsent(trait, t -> new HashSet<>()).addAll(instanceIds);
        evaluate();
    }

    // Evaluation

    private void evaluate() {
        if (repeatedSuspects.isEmpty()) {
            blocked = Map.of();
            return;
        }
        Map<String, Set<String>> accusing = new HashMap<>();
        crashes.forEach((id, crash) -> crash.traits.forEach(trait -> {
            if (!isCleared(trait, id)) {
                accusing.computeIfAbsent(trait, t -> new HashSet<>()).add(id);
            }
        }));
        Map<String, Double> scores = new HashMap<>();
        accusing.forEach((trait, ids) -> scores.put(trait, score(trait, ids)));
        Map<String, Double> bestScores = new HashMap<>();
        accusing.forEach(
                (trait, ids) -> ids.forEach(id -> bestScores.merge(id, scores.getOrDefault(trait, 0.0), Math::max)));
        Map<String, Set<String>> convicted = new HashMap<>();
        for (String trait : repeatedSuspects) {
            Set<String> ids = accusing.getOrDefault(trait, Set.of());
            double own = scores.getOrDefault(trait, 0.0);
            // A crash that another trait explains better is no evidence.
            Set<String> unexplained = new HashSet<>(ids);
            unexplained.removeIf(id -> bestScores.getOrDefault(id, 0.0) > own + TIE);
            if (unexplained.size() >= MIN_CRASHES && score(trait, unexplained) >= weight.threshold()) {
                Set<String> alike = alike(trait, accusing, scores);
                // A request has one such trait, and so never all of those that cannot be told apart.
                convicted.put(
                        trait,
                        ids.size() < MIN_CRASHES_OF_SIMILAR_REQUESTS ? alike : withoutOtherRequests(trait, alike));
            }
        }
        blocked = convicted;
    }

    private static Set<String> alike(String trait, Map<String, Set<String>> accusing, Map<String, Double> scores) {
        Set<String> alike = new HashSet<>();
        accusing.forEach((other, ids) -> {
            boolean tie = Math.abs(scores.getOrDefault(other, 0.0) - scores.getOrDefault(trait, 0.0)) <= TIE;
            if (tie && ids.equals(accusing.get(trait))) {
                alike.add(other);
            }
        });
        return alike;
    }

    private static Set<String> withoutOtherRequests(String trait, Set<String> alike) {
        Set<String> kept = new HashSet<>(alike);
        kept.removeIf(other -> Suspect.isRequest(other) && !other.equals(trait));
        return kept;
    }

    private double share(String trait) {
        return Suspect.isRequest(trait)
                ? (startsByRequest.getOrDefault(trait, 0) + PRIOR_STARTS_OF_TRAIT)
                        / (requestStartCount + PRIOR_STARTS_OF_REQUESTS)
                : (startsByTrait.getOrDefault(trait, 0) + PRIOR_STARTS_OF_TRAIT) / (startCount + PRIOR_STARTS);
    }

    private double score(String trait, Set<String> instanceIds) {
        double share = share(trait);
        double sum = 0;
        for (String id : instanceIds) {
            Crash crash = crashes.get(id);
            sum += crash == null ? 0 : weight.of(Math.min(1, share), Math.max(1, crash.attempts.size()));
        }
        return sum;
    }

    private Set<String> crashesAccusing(String trait) {
        Set<String> accusing = new HashSet<>();
        crashes.forEach((id, crash) -> {
            if (crash.traits.contains(trait) && !isCleared(trait, id)) {
                accusing.add(id);
            }
        });
        return accusing;
    }

    private boolean isCleared(String trait, String instanceId) {
        return clearedByTrait.getOrDefault(trait, Set.of()).contains(instanceId);
    }

    private void expire() {
        Iterator<Map.Entry<String, Crash>> oldestFirst = crashes.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Crash> entry = oldestFirst.next();
            if (crashes.size() <= MAX_CRASHES && timers.nowMillis() - entry.getValue().at < CRASH_TTL_MS) {
                break;
            }
            oldestFirst.remove();
            forget(entry.getKey(), entry.getValue());
        }
    }

    private void forget(String instanceId, Crash crash) {
        crash.attempts.forEach(crashByAttempt::remove);
        for (String trait : crash.traits) {
            crashCountByTrait.computeIfPresent(trait, (t, count) -> count > 1 ? count - 1 : null);
            if (crashCountByTrait.getOrDefault(trait, 0) < MIN_CRASHES) {
                repeatedSuspects.remove(trait);
            }
            removeFrom(clearedByTrait, trait, instanceId);
            removeFrom(clearedHere, trait, instanceId);
        }
        if (crashes.isEmpty()) {
            clearedByTrait.clear();
            clearedHere.clear();
            startsByRequest.clear();
            requestStartCount = 0;
        }
    }

    private static void removeFrom(Map<String, Set<String>> byTrait, String trait, String instanceId) {
        byTrait.computeIfPresent(trait, (t, ids) -> {
            ids.remove(instanceId);
            return ids.isEmpty() ? null : ids;
        });
    }

    private static <V> Map<String, V> bounded(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > maxEntries;
            }
        };
    }
}
