package org.siskinlead.core.roster;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.platform.LeaseStore.Change;
import org.siskinlead.core.platform.LeaseStore.Condition;
import org.siskinlead.core.platform.LeaseStore.Outcome;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Tracks the daemons that take requests and the one that issues orders to engines. Each daemon registers itself under a
 * lease of its own; the issuer's lease also holds the issuer key. A write that is applied late is harmless, because it
 * takes effect only while the lease that it names exists.
 */
public final class Roster {
    /** Prefix of all keys that daemons write. */
    public static final String PREFIX = "siskinlead/";

    private static final String VM_PREFIX = PREFIX + "vm/";
    private static final String DOWN_PREFIX = PREFIX + "down/";
    private static final String ORDER_ISSUER_KEY = PREFIX + "orders";

    /** Time after which a VM that lost power is off the roster; twice the shortest TTL that the store grants. */
    static final long LEASE_TTL_MS = 2_000;
    /** Part of the TTL that is left unused, to allow for the delay of a renewal and clock drift. */
    static final long LEASE_MARGIN_MS = 500;

    /** Renewal interval of a small roster: a quarter of the TTL, so that three renewals in a row may be lost. */
    private static final long RENEW_INTERVAL_MS = 500;
    /**
     * Renewal interval of a large roster: half of the TTL. The calls of all daemons add up, and a short absence of one
     * daemon matters less among many; a renewal without an answer is retried after {@link #RENEW_RETRY_MS}.
     */
    private static final long LARGE_RENEW_INTERVAL_MS = 1_000;
    /** Delay before an unanswered renewal is retried; leaves time for one more within the TTL. */
    private static final long RENEW_RETRY_MS = 400;
    /** Interval between two reads of changes: at most six to seven reads per second, changes applied within 200 ms. */
    private static final long BATCH_WINDOW_MS = 150;
    /** The same for a large roster: a sixth of the 3 s in which new configuration or a leaving target must be known. */
    private static final long LARGE_BATCH_WINDOW_MS = 500;
    /** Maximum size of a small roster; up to it, the loss of one daemon affects an eighth of the callers or more. */
    private static final int MAX_SMALL_ROSTER = 8;

    private static final long TICK_INTERVAL_MS = 200;
    /** Interval between the registrations of two daemons, of two writes each, after the store has lost them. */
    private static final long REGISTRATION_INTERVAL_MS = 10;

    private static final long UNKNOWN_LEASE = -1;
    /** Delay before a write is repeated whose effect the store has not yet reported. */
    private static final long RESEND_DELAY_MS = 600;
    /** Delay between the daemons' attempts to claim the issuer key, so that usually only one of them writes. */
    private static final long CLAIM_STAGGER_MS = 120;

    private final RosterEntry self;
    private final LeaseStore store;
    private final Timers timers;
    private final Timeline timeline;
    private final StoreOutages outages;
    private final Freshness leaseProof;
    private final Map<String, RosterEntry> entries = new TreeMap<>();
    /** Times at which the entries were added, by VM, in milliseconds of the monotonic clock. */
    private final Map<String, Long> addedAt = new HashMap<>();

    private final Map<String, Long> leaseByKey = new HashMap<>();
    private final Map<String, Long> lapseGraceUntil = new HashMap<>();
    private DownListener downListener = (instanceId, fingerprints, discovery) -> {};
    private long lease;
    private boolean opening;
    private boolean renewing;
    private boolean leaving;
    private boolean announced;
    private long lastRenewalAt;
    private long lastRegistrationAt = Long.MIN_VALUE / 2;
    private long issuerAbsentSince = Long.MAX_VALUE;
    private long lastClaimAt = Long.MIN_VALUE / 2;

    /** How a key became known. */
    public enum Discovery {
        /** It was in a full listing; it may have changed long ago. */
        LISTED,
        /** It was reported as a change. */
        CHANGED
    }

    /** Receives reports of other daemons about targets that are down. */
    public interface DownListener {
        /**
         * Handles a report.
         * @param instanceId identity of one start of the target
         * @param fingerprints fingerprints of the requests that were running on it
         * @param discovery whether the report is new
         */
        void onDown(String instanceId, List<String> fingerprints, Discovery discovery);
    }

    private Roster(RosterEntry self, LeaseStore store, Timers timers, Timeline timeline, StoreOutages outages) {
        this.self = self;
        this.store = store;
        this.timers = timers;
        this.timeline = timeline;
        this.outages = outages;
        this.leaseProof = Freshness.of(timers, LEASE_TTL_MS - LEASE_MARGIN_MS);
    }

    /**
     * Creates a roster and opens its lease.
     * @param self this daemon
     * @param store the platform's store
     * @param timers clock and timers
     * @param timeline receives events
     * @param outages tells whether a missing entry may have lapsed
     * @return the roster
     */
    public static Roster start(
            RosterEntry self, LeaseStore store, Timers timers, Timeline timeline, StoreOutages outages) {
        Roster roster = new Roster(self, store, timers, timeline, outages);
        outages.addListener(new StoreOutages.Listener() {
            @Override
            public void onOutageEnded() {
                roster.onOutageEnded();
            }
        });
        timers.every(TICK_INTERVAL_MS, roster::tick);
        roster.tick();
        return roster;
    }

    // Queries

    /**
     * Lists the daemons that take requests.
     * @return entries in the order of their VMs' names
     */
    public List<RosterEntry> entries() {
        removeLapsed();
        return new ArrayList<>(entries.values());
    }

    /**
     * Tells whether another daemon has been listed for some time.
     * @param millis the time, in milliseconds
     * @return true if callers that have asked since then know one
     */
    public boolean listsOtherFor(long millis) {
        return entries().stream()
                .filter(entry -> !entry.vm().equals(self.vm()))
                .anyMatch(entry -> timers.nowMillis() - addedAt.getOrDefault(entry.vm(), Long.MAX_VALUE) >= millis);
    }

    /**
     * Counts the daemons that take requests.
     * @return at least one
     */
    public int size() {
        return Math.max(1, entries.size());
    }

    /**
     * Gets the interval for which changes are batched before they are read. The first change after a quiet period is
     * read at once.
     * @return milliseconds; longer for a large roster, where many daemons read each change
     */
    public long batchWindowMillis() {
        return isLarge() ? LARGE_BATCH_WINDOW_MS : BATCH_WINDOW_MS;
    }

    /**
     * Tells whether this daemon issues orders to engines.
     * @return true while its lease is known to exist and holds the issuer key
     */
    public boolean mayIssueOrders() {
        return !leaving && lease != 0 && leaseProof.isFresh() && leaseByKey.getOrDefault(ORDER_ISSUER_KEY, 0L) == lease;
    }

    // Commands

    /**
     * Sets the listener for other daemons' reports of targets that are down.
     * @param listener replaces the previous one
     */
    public void setDownListener(DownListener listener) {
        downListener = listener;
    }

    /** Registers this daemon as one that takes requests. */
    public void announce() {
        if (!announced) {
            announced = true;
            tick();
        }
    }

    /** Removes this daemon from the roster and ends its lease, which releases the keys that it holds. */
    public void leave() {
        leaving = true;
        entries.remove(self.vm());
        if (lease == 0) {
            return;
        }
        long ended = lease;
        lease = 0;
        if (mayLookLikeLapse()) {
            store.commit(
                    List.of(),
                    List.of(new Change(VM_PREFIX + self.vm(), RosterEntry.LEAVING, ended)),
                    outcome -> endLease(ended));
        } else {
            endLease(ended);
        }
    }

    private void endLease(long ended) {
        store.endLease(ended, outcome -> {
            if (outcome == Outcome.UNKNOWN || outcome == Outcome.REJECTED) {
                store.endLease(ended, again -> {});
            }
        });
    }

    /** Tells whether others may mistake the removal of this daemon's entry for a lapse and keep it listed. */
    private boolean mayLookLikeLapse() {
        return outages.isOutage() || outages.millisSinceEnd() < 2 * StoreOutages.LAPSE_GRACE_MS;
    }

    /**
     * Reports to the other daemons that a target is down.
     * @param instanceId identity of one start of the target
     * @param fingerprints fingerprints of the requests that were running on it
     */
    public void publishDown(String instanceId, List<String> fingerprints) {
        if (lease == 0) {
            return;
        }
        String key = DOWN_PREFIX + instanceId + "/" + self.vm();
        byte[] value = String.join("\n", fingerprints).getBytes(StandardCharsets.UTF_8);
        store.commit(List.of(), List.of(new Change(key, value, lease)), outcome -> {});
    }

    /**
     * Handles a key below {@link #PREFIX} that the store holds.
     * @param key the key
     * @param value its value
     * @param heldBy number of the lease that holds it
     * @param discovery how it became known
     */
    public void onKeyPresent(String key, byte[] value, long heldBy, Discovery discovery) {
        leaseByKey.put(key, heldBy);
        lapseGraceUntil.remove(key);
        if (key.startsWith(VM_PREFIX)) {
            String vm = key.substring(VM_PREFIX.length());
            RosterEntry.decode(vm, value)
                    .ifPresentOrElse(entry -> addEntry(vm, entry), () -> removeEntry(key, "the daemon is leaving"));
        } else if (key.startsWith(DOWN_PREFIX) && !key.endsWith("/" + self.vm())) {
            String rest = key.substring(DOWN_PREFIX.length());
            String text = new String(value, StandardCharsets.UTF_8);
            List<String> fingerprints = text.isEmpty() ? List.of() : Arrays.asList(text.split("\n"));
            downListener.onDown(rest.substring(0, Math.max(0, rest.lastIndexOf('/'))), fingerprints, discovery);
        } else if (key.equals(ORDER_ISSUER_KEY)) {
            issuerAbsentSince = Long.MAX_VALUE;
        }
    }

    /**
     * Handles the removal of a key below {@link #PREFIX}.
     * @param key the removed key
     */
    public void onKeyRemoved(String key) {
        leaseByKey.remove(key);
        if (key.equals(ORDER_ISSUER_KEY)) {
            issuerAbsentSince = timers.nowMillis();
        }
        if (!key.startsWith(VM_PREFIX)) {
            return;
        }
        if (outages.mayHaveLapsed()) {
            lapseGraceUntil.put(key, timers.nowMillis() + StoreOutages.LAPSE_GRACE_MS);
        } else {
            removeEntry(key, "entry removed");
        }
    }

    /**
     * Removes all keys but the listed ones, after a full listing.
     * @param keys all keys below {@link #PREFIX} that exist
     */
    public void retainKeys(Collection<String> keys) {
        for (String key : List.copyOf(leaseByKey.keySet())) {
            if (!keys.contains(key)) {
                onKeyRemoved(key);
            }
        }
        if (!keys.contains(ORDER_ISSUER_KEY) && issuerAbsentSince == Long.MAX_VALUE) {
            issuerAbsentSince = timers.nowMillis();
        }
    }

    /**
     * Handles that the store was restored from an older snapshot. The lease is given up without ending it, since its number
     * may belong to another daemon now; a large roster spreads its new leases by name.
     */
    public void onStoreRestored() {
        lease = 0;
        leaseByKey.replaceAll((key, heldBy) -> UNKNOWN_LEASE);
        long spread = isLarge() ? Math.floorMod(self.vm().hashCode(), REGISTRATION_INTERVAL_MS * entries.size()) : 0;
        lastRenewalAt = timers.nowMillis() + spread - TICK_INTERVAL_MS;
        timers.after(spread, this::tick);
    }

    private void onOutageEnded() {
        lapseGraceUntil.replaceAll((key, until) -> timers.nowMillis() + StoreOutages.LAPSE_GRACE_MS);
        tick();
    }

    private void tick() {
        if (leaving) {
            return;
        }
        removeLapsed();
        long now = timers.nowMillis();
        if (lease == 0) {
            openLease(now);
        } else if (now - lastRenewalAt >= renewInterval()) {
            renewLease(now);
        }
        if (lease != 0 && announced) {
            register(now);
            claimIssuerKey(now);
        }
    }

    private void openLease(long now) {
        if (opening || now - lastRenewalAt < TICK_INTERVAL_MS) {
            return;
        }
        opening = true;
        lastRenewalAt = now;
        Freshness.ClockReading sent = Freshness.ClockReading.now(timers);
        store.openLease(LEASE_TTL_MS, result -> {
            opening = false;
            if (result.outcome() != Outcome.DONE) {
                return;
            }
            if (leaving) {
                store.endLease(result.lease(), outcome -> {});
                return;
            }
            lease = result.lease();
            leaseProof.recordProof(sent);
            timeline.record(EventKind.LEASE_OPENED, "lease", lease, "ttlMs", result.ttlMillis());
            lastRegistrationAt = Long.MIN_VALUE / 2;
            tick();
        });
    }

    private long renewInterval() {
        if (renewing) {
            return RENEW_RETRY_MS;
        }
        return isLarge() ? LARGE_RENEW_INTERVAL_MS : RENEW_INTERVAL_MS;
    }

    private boolean isLarge() {
        return entries.size() > MAX_SMALL_ROSTER;
    }

    private void renewLease(long now) {
        renewing = true;
        lastRenewalAt = now;
        long renewed = lease;
        Freshness.ClockReading sent = Freshness.ClockReading.now(timers);
        store.renewLease(renewed, outcome -> {
            if (lease != renewed) {
                return;
            }
            renewing &= outcome == Outcome.UNKNOWN;
            if (outcome == Outcome.DONE) {
                leaseProof.recordProof(sent);
            } else if (outcome == Outcome.LEASE_ENDED) {
                timeline.record(EventKind.LEASE_LOST, "lease", renewed, "lastProofAgeMs", leaseProof.ageMillis());
                lease = 0;
                lastRenewalAt = Long.MIN_VALUE / 2;
                tick();
            }
        });
    }

    private void register(long now) {
        String key = VM_PREFIX + self.vm();
        if (leaseByKey.getOrDefault(key, 0L) == lease || now - lastRegistrationAt < RESEND_DELAY_MS) {
            return;
        }
        lastRegistrationAt = now;
        store.commit(List.of(), List.of(new Change(key, self.encode(), lease)), this::onCommitted);
    }

    private void claimIssuerKey(long now) {
        if (leaseByKey.containsKey(ORDER_ISSUER_KEY)
                || issuerAbsentSince == Long.MAX_VALUE
                || now - lastClaimAt < RESEND_DELAY_MS) {
            return;
        }
        long rank = entries.keySet().stream()
                .filter(vm -> vm.compareTo(self.vm()) < 0)
                .count();
        if (now - issuerAbsentSince < rank * CLAIM_STAGGER_MS) {
            return;
        }
        lastClaimAt = now;
        store.commit(
                List.of(new Condition(ORDER_ISSUER_KEY, LeaseStore.ABSENT)),
                List.of(new Change(ORDER_ISSUER_KEY, self.vm().getBytes(StandardCharsets.UTF_8), lease)),
                this::onCommitted);
    }

    private void onCommitted(@Nullable Outcome outcome) {
        if (outcome == Outcome.LEASE_ENDED) {
            lease = 0;
            lastRenewalAt = Long.MIN_VALUE / 2;
            tick();
        }
    }

    /** Removes entries whose daemons have not registered again in time; while the store is lost, none of them can. */
    private void removeLapsed() {
        if (outages.isOutage()) {
            return;
        }
        long now = timers.nowMillis();
        for (Map.Entry<String, Long> lapsed : List.copyOf(lapseGraceUntil.entrySet())) {
            if (now >= lapsed.getValue()) {
                lapseGraceUntil.remove(lapsed.getKey());
                removeEntry(lapsed.getKey(), "entry lapsed");
            }
        }
    }

    private void addEntry(String vm, RosterEntry entry) {
        if (entries.put(vm, entry) == null) {
            addedAt.put(vm, timers.nowMillis());
            timeline.record(EventKind.MEMBER_JOINED, "vm", vm, "address", entry.address());
        }
    }

    private void removeEntry(String key, String reason) {
        String vm = key.substring(VM_PREFIX.length());
        if (entries.remove(vm) != null) {
            timeline.record(EventKind.MEMBER_REMOVED, "vm", vm, "reason", reason);
        }
    }
}
