package org.siskinlead.core.crash;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.platform.LeaseStore.Change;
import org.siskinlead.core.platform.LeaseStore.Condition;
import org.siskinlead.core.platform.LeaseStore.Outcome;
import org.siskinlead.core.time.Timers;

/**
 * Exchanges evidence about crashes with the other daemons through the store. The keys have no lease, so the evidence
 * outlives the daemon that wrote it; they are removed when it has expired.
 */
public final class CrashReports {
    /** Prefix of all keys. */
    public static final String PREFIX = "siskinlead/crash/";

    private static final String SUSPECTS_PREFIX = PREFIX + "suspects/";
    private static final String CLEARED_PREFIX = PREFIX + "cleared/";
    private static final String TRIAL_PREFIX = PREFIX + "trial/";
    /** Delay before a write without an answer is repeated; suits the store's outages of a few seconds. */
    private static final long RESEND_DELAY_MS = 500;

    private static final int MAX_SENDS = 120;
    /** Longest delay of a clearance per daemon, so that mostly one of all daemons that know it writes it. */
    private static final long CLEARANCE_SPREAD_PER_DAEMON_MS = 40;

    private static final long MAX_CLEARANCE_SPREAD_MS = 1_000;
    private static final int MAX_SUSPECTS = 64;
    /** Crashes whose reports of this daemon are kept in the store; more than happen before they expire. */
    private static final int MAX_OWN_REPORTS = 200;

    private static final String FIELD_SEPARATOR = "\t";
    private static final String LINE_SEPARATOR = "\n";

    private final String vm;
    private final LeaseStore store;
    private final Timers timers;
    private final RandomGenerator random;
    private final IntSupplier daemonCount;
    private final Map<String, Set<Suspect>> ownSuspects = new LinkedHashMap<>();
    private final Map<String, Set<String>> ownClearances = new HashMap<>();
    private final Map<String, Set<String>> othersClearances = new HashMap<>();
    private final Map<String, Long> versionByKey = new HashMap<>();
    private final Set<String> presentKeys = new HashSet<>();
    private Listener listener = new Listener() {
        @Override
        public void onCrash(String instanceId, List<Suspect> suspects) {}

        @Override
        public void onCleared(String trait, List<String> instanceIds) {}
    };

    /** Receives the evidence of other daemons. */
    public interface Listener {
        /**
         * Handles the suspects that another daemon has reported for a crash.
         * @param instanceId instance of the target that crashed
         * @param suspects the suspects
         */
        void onCrash(String instanceId, List<Suspect> suspects);

        /**
         * Handles that another daemon has cleared a trait.
         * @param trait the trait
         * @param instanceIds instances whose crashes it did not cause
         */
        void onCleared(String trait, List<String> instanceIds);
    }

    private CrashReports(String vm, LeaseStore store, Timers timers, RandomGenerator random, IntSupplier daemonCount) {
        this.vm = vm;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.daemonCount = daemonCount;
    }

    /**
     * Creates the reports of a daemon.
     * @param vm name of the daemon's VM
     * @param store the platform's store
     * @param timers clock and scheduler
     * @param random source of delays
     * @param daemonCount number of serving daemons
     * @return the reports
     */
    public static CrashReports of(
            String vm, LeaseStore store, Timers timers, RandomGenerator random, IntSupplier daemonCount) {
        return new CrashReports(vm, store, timers, random, daemonCount);
    }

    /**
     * Sets the listener for the evidence of other daemons.
     * @param evidence replaces the previous one
     */
    public void setListener(Listener evidence) {
        listener = evidence;
    }

    // Own evidence

    /**
     * Reports suspects of a crash, in addition to those reported before.
     * @param instanceId instance of the target that crashed
     * @param suspects requests of this daemon that may have caused it
     * @return false if all of them were reported before
     */
    public boolean reportCrash(String instanceId, Collection<Suspect> suspects) {
        Set<Suspect> all = ownSuspects.computeIfAbsent(instanceId, id -> new LinkedHashSet<>());
        if (!all.addAll(suspects)) {
            return false;
        }
        timers.after(CrashAttribution.CRASH_TTL_MS, () -> ownSuspects.remove(instanceId));
        writeSuspects(instanceId, all);
        if (ownSuspects.size() > MAX_OWN_REPORTS) {
            withdraw(ownSuspects.keySet().iterator().next());
        }
        return true;
    }

    /**
     * Removes what this daemon has reported about an instance.
     * @param instanceId instance of a target
     */
    public void withdraw(String instanceId) {
        if (ownSuspects.remove(instanceId) != null) {
            String key = SUSPECTS_PREFIX + instanceId + "/" + vm;
            versionByKey.merge(key, 1L, Long::sum);
            store.commit(List.of(), List.of(new Change(key, null, 0)), outcome -> {});
        }
    }

    /**
     * Reports, unless another daemon does so before, that a trait did not cause crashes.
     * @param trait the trait
     * @param instanceIds instances whose crashes it did not cause
     */
    public void reportCleared(String trait, Collection<String> instanceIds) {
        long spread = Math.min(MAX_CLEARANCE_SPREAD_MS, CLEARANCE_SPREAD_PER_DAEMON_MS * daemonCount.getAsInt());
        timers.after(random.nextLong(spread + 1), () -> {
            Set<String> own = ownClearances.computeIfAbsent(trait, t -> new LinkedHashSet<>());
            Set<String> missing = new HashSet<>(instanceIds);
            missing.removeAll(own);
            missing.removeAll(othersClearances.getOrDefault(trait, Set.of()));
            if (missing.isEmpty()) {
                return;
            }
            own.addAll(missing);
            timers.after(CrashAttribution.CRASH_TTL_MS, () -> ownClearances.remove(trait));
            writeClearance(trait, own);
        });
    }

    /**
     * Claims a trial, which one daemon gets at most once.
     * @param trial the trial
     * @param onResult receives whether this daemon may send the request
     */
    public void claim(CrashAttribution.Trial trial, Consumer<Boolean> onResult) {
        String key = TRIAL_PREFIX + trial.trait() + "/" + trial.crashes();
        store.commit(
                List.of(new Condition(key, LeaseStore.ABSENT)),
                List.of(new Change(key, vm.getBytes(StandardCharsets.UTF_8), 0)),
                outcome -> onResult.accept(outcome == Outcome.DONE));
    }

    private void write(String key, List<String> lines) {
        long version = versionByKey.merge(key, 1L, Long::sum);
        send(key, String.join(LINE_SEPARATOR, lines).getBytes(StandardCharsets.UTF_8), version, MAX_SENDS);
    }

    private void send(String key, byte[] value, long version, int sendsLeft) {
        if (sendsLeft == 0 || versionByKey.getOrDefault(key, 0L) != version) {
            return;
        }
        store.commit(List.of(), List.of(new Change(key, value, 0)), outcome -> {
            if (outcome != Outcome.DONE) {
                timers.after(RESEND_DELAY_MS, () -> send(key, value, version, sendsLeft - 1));
            }
        });
    }

    /** Writes the evidence of this daemon again, since the store may have lost it. */
    public void onStoreRestored() {
        presentKeys.clear();
        othersClearances.clear();
        ownSuspects.forEach(this::writeSuspects);
        ownClearances.forEach((trait, instanceIds) -> writeClearance(trait, instanceIds));
    }

    private void writeSuspects(String instanceId, Set<Suspect> suspects) {
        List<String> lines = suspects.stream()
                .limit(MAX_SUSPECTS)
                .map(s -> s.attempt() + FIELD_SEPARATOR + String.join(FIELD_SEPARATOR, s.traits()))
                .toList();
        write(SUSPECTS_PREFIX + instanceId + "/" + vm, lines);
    }

    private void writeClearance(String trait, Set<String> instanceIds) {
        write(CLEARED_PREFIX + trait + "/" + vm, List.copyOf(instanceIds));
    }

    // Evidence in the store, that of earlier processes of this VM included

    /**
     * Handles a key below {@link #PREFIX} that the store holds.
     * @param key the key
     * @param value its value
     */
    public void onKeyPresent(String key, byte[] value) {
        if (presentKeys.add(key)) {
            removeWhenExpired(key);
        }
        List<String> lines = Arrays.asList(new String(value, StandardCharsets.UTF_8).split(LINE_SEPARATOR, -1));
        if (key.startsWith(SUSPECTS_PREFIX)) {
            listener.onCrash(subject(key, SUSPECTS_PREFIX), decode(lines));
        } else if (key.startsWith(CLEARED_PREFIX)) {
            String trait = subject(key, CLEARED_PREFIX);
            othersClearances.computeIfAbsent(trait, t -> new HashSet<>()).addAll(lines);
            listener.onCleared(trait, lines);
        }
    }

    /**
     * Handles the removal of a key below {@link #PREFIX}.
     * @param key the removed key
     */
    public void onKeyRemoved(String key) {
        presentKeys.remove(key);
        if (key.startsWith(CLEARED_PREFIX)) {
            othersClearances.remove(subject(key, CLEARED_PREFIX));
        }
    }

    /** Removes a key some time after its evidence has expired, whoever wrote it; the first of all daemons does so. */
    private void removeWhenExpired(String key) {
        long delay = CrashAttribution.CRASH_TTL_MS + random.nextLong(CrashAttribution.CRASH_TTL_MS);
        timers.after(delay, () -> {
            if (presentKeys.contains(key)) {
                store.commit(List.of(), List.of(new Change(key, null, 0)), outcome -> {});
            }
        });
    }

    private static String subject(String key, String prefix) {
        return key.substring(prefix.length(), Math.max(prefix.length(), key.lastIndexOf('/')));
    }

    private static List<Suspect> decode(List<String> lines) {
        List<Suspect> suspects = new ArrayList<>();
        for (String line : lines.subList(0, Math.min(lines.size(), MAX_SUSPECTS))) {
            List<String> fields = List.of(line.split(FIELD_SEPARATOR, -1));
            if (fields.size() > 1 && !fields.get(0).isEmpty()) {
                suspects.add(new Suspect(fields.get(0), new HashSet<>(fields.subList(1, fields.size()))));
            }
        }
        return suspects;
    }
}
