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
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.platform.LeaseStore.Change;
import org.siskinlead.core.platform.LeaseStore.Condition;
import org.siskinlead.core.platform.LeaseStore.Outcome;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Daemons that serve, and the holder of the leave to give orders. Each daemon registers itself under a lease of its own,
 * which also holds the key of that leave. A write without an answer is harmless later: it names the lease.
 */
public final class Roster {
    /** Prefix of every key that daemons write. */
    public static final String PREFIX = "siskinlead/";

    private static final String VM_PREFIX = PREFIX + "vm/";
    private static final String DOWN_PREFIX = PREFIX + "down/";
    private static final String ORDER_ISSUER_KEY = PREFIX + "orders";

    /** Life of the lease: a VM that lost power is off the roster after this long. Twice the least that the store grants. */
    static final long LEASE_TTL_MS = 2_000;
    /** Part of the lease's life that is left unused, for the delay of a renewal and the drift of clocks. */
    static final long LEASE_MARGIN_MS = 500;

    /** Time between renewals while few daemons serve: a quarter of the lease's life, so that three may be lost. */
    private static final long RENEW_INTERVAL_MS = 500;
    /**
     * Time between renewals while many serve: half of the lease's life. The calls of all daemons add up, and one daemon of
     * many that is not listed for a moment is missed less; a renewal without an answer is sent again soon.
     */
    private static final long LARGE_RENEW_INTERVAL_MS = 1_000;
    /** Wait for the answer to a renewal before another is sent: leaves time for one more within the lease's life. */
    private static final long RENEW_RETRY_MS = 400;
    /** Pause between two reads of changes: six reads a second at most, while each change is still used within 200 ms. */
    private static final long BATCH_WINDOW_MS = 150;
    /** The same where many read: a sixth of the 3 s in which a configuration or a leaving target must be acted on. */
    private static final long LARGE_BATCH_WINDOW_MS = 500;
    /** Most daemons that count as few: with one lost, more than an eighth of the callers would be concerned. */
    private static final int MAX_SMALL_ROSTER = 8;

    private static final long TICK_INTERVAL_MS = 200;
    /** Wait for an answer, or for the mirror to show a write, before it is sent again. */
    private static final long RESEND_DELAY_MS = 600;
    /** Step between the daemons' tries for the leave to give orders, so that mostly one of them writes. */
    private static final long CLAIM_STAGGER_MS = 120;
    /** Time for which entries that lapsed with the store's absence stay listed. */
    private static final long LAPSE_GRACE_MS = 2_300;

    private final RosterEntry self;
    private final LeaseStore store;
    private final Timers timers;
    private final Timeline timeline;
    private final Freshness leaseProof;
    private final Map<String, RosterEntry> entries = new TreeMap<>();
    private final Map<String, Long> leaseByKey = new HashMap<>();
    private final Map<String, Long> lapseGraceUntil = new HashMap<>();
    private DownListener downListener = (life, fingerprints, seen) -> {};
    private long lease;
    private boolean opening;
    private boolean renewing;
    private boolean leaving;
    private boolean announced;
    private boolean storeLost;
    private long storeRegainedAt = Long.MIN_VALUE / 2;
    private long renewedAt;
    private long lastRegistrationAt = Long.MIN_VALUE / 2;
    private long issuerAbsentSince = Long.MAX_VALUE;
    private long lastClaimAt = Long.MIN_VALUE / 2;

    /** How a key came to be known. */
    public enum Discovery {
        /** It was there when everything was read; its change may be long ago. */
        LISTED,
        /** It changed just now. */
        CHANGED
    }

    /** Receives findings of other daemons. */
    public interface DownListener {
        /**
         * Takes a finding.
         * @param instanceId life of the target that was found down
         * @param fingerprints requests that were running on it
         * @param discovery whether it was found just now
         */
        void onDown(String instanceId, List<String> fingerprints, Discovery discovery);
    }

    private Roster(RosterEntry self, LeaseStore store, Timers timers, Timeline timeline) {
        this.self = self;
        this.store = store;
        this.timers = timers;
        this.timeline = timeline;
        this.leaseProof = Freshness.of(timers, LEASE_TTL_MS - LEASE_MARGIN_MS);
    }

    /**
     * Creates a roster and begins to keep its lease.
     * @param self this daemon
     * @param store the platform's store
     * @param timers time
     * @param timeline where events go
     * @return the roster
     */
    public static Roster start(RosterEntry self, LeaseStore store, Timers timers, Timeline timeline) {
        Roster roster = new Roster(self, store, timers, timeline);
        timers.every(TICK_INTERVAL_MS, roster::tick);
        roster.tick();
        return roster;
    }

    // Queries

    /**
     * Lists the daemons that take requests.
     * @return entries by the name of the VM
     */
    public List<RosterEntry> entries() {
        removeLapsed();
        return new ArrayList<>(entries.values());
    }

    /**
     * Counts the daemons that take requests.
     * @return at least one
     */
    public int size() {
        return Math.max(1, entries.size());
    }

    /**
     * Gets how long to let changes gather before they are read, once some have come. The first change after a calm time is
     * read at once in any case.
     * @return milliseconds; longer where many daemons read each change
     */
    public long batchWindowMillis() {
        return isLarge() ? LARGE_BATCH_WINDOW_MS : BATCH_WINDOW_MS;
    }

    /**
     * Tells whether this daemon gives the orders.
     * @return true while its lease is proven to live and holds the key of that leave
     */
    public boolean mayIssueOrders() {
        return !leaving && lease != 0 && leaseProof.isFresh() && leaseByKey.getOrDefault(ORDER_ISSUER_KEY, 0L) == lease;
    }

    // Commands

    /**
     * Registers what takes the findings of other daemons.
     * @param listener the listener
     */
    public void setDownListener(DownListener listener) {
        downListener = listener;
    }

    /** Begins to list this daemon as one that takes requests. */
    public void announce() {
        if (!announced) {
            announced = true;
            tick();
        }
    }

    /** Takes this daemon off the roster and gives up what its lease holds. */
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

    /** Tells whether others may take the end of this daemon's entry for a lapse, and go on listing it. */
    private boolean mayLookLikeLapse() {
        return storeLost || timers.nowMillis() - storeRegainedAt < 2 * LAPSE_GRACE_MS;
    }

    /**
     * Tells the other daemons that a target is down.
     * @param instanceId life of the target
     * @param fingerprints requests that were running on it
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
     * Takes a key below {@link #PREFIX} as the store holds it.
     * @param key the key
     * @param value its value
     * @param heldBy lease that holds it
     * @param discovery how it came to be known
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
     * Takes the removal of a key below {@link #PREFIX}.
     * @param key the key
     */
    public void onKeyRemoved(String key) {
        leaseByKey.remove(key);
        if (key.equals(ORDER_ISSUER_KEY)) {
            issuerAbsentSince = timers.nowMillis();
        }
        if (!key.startsWith(VM_PREFIX)) {
            return;
        }
        if (storeLost || timers.nowMillis() - storeRegainedAt < LAPSE_GRACE_MS) {
            lapseGraceUntil.put(key, timers.nowMillis() + LAPSE_GRACE_MS);
        } else {
            removeEntry(key, "entry removed");
        }
    }

    /**
     * Keeps only the listed keys, after the whole list was read anew.
     * @param keys keys below {@link #PREFIX} that exist
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

    /** Takes note that the store no longer answers this daemon. */
    public void onStoreLost() {
        storeLost = true;
    }

    /** Takes note that the store answers again. */
    public void onStoreRegained() {
        storeLost = false;
        storeRegainedAt = timers.nowMillis();
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
        } else if (now - renewedAt >= renewInterval()) {
            renewLease(now);
        }
        if (lease != 0 && announced) {
            register(now);
            claimIssuerKey(now);
        }
    }

    private void openLease(long now) {
        if (opening || now - renewedAt < TICK_INTERVAL_MS) {
            return;
        }
        opening = true;
        renewedAt = now;
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
        renewedAt = now;
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
                renewedAt = Long.MIN_VALUE / 2;
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
            renewedAt = Long.MIN_VALUE / 2;
            tick();
        }
    }

    private void removeLapsed() {
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
