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

    private static final String VMS = PREFIX + "vm/";
    private static final String DOWN = PREFIX + "down/";
    private static final String ORDERS = PREFIX + "orders";

    /** Life of the lease: a VM that lost power is off the roster after this long. Twice the least that the store grants. */
    static final long TTL_MS = 2_000;
    /** Part of the lease's life that is left unused, for the delay of a renewal and the drift of clocks. */
    static final long LEASE_MARGIN_MS = 500;

    /** Time between renewals while few daemons serve: a quarter of the lease's life, so that three may be lost. */
    private static final long RENEW_MS = 500;
    /**
     * Time between renewals while many serve: half of the lease's life. The calls of all daemons add up, and one daemon of
     * many that is not listed for a moment is missed less; a renewal without an answer is sent again soon.
     */
    private static final long RENEW_OF_MANY_MS = 1_000;
    /** Wait for the answer to a renewal before another is sent: leaves time for one more within the lease's life. */
    private static final long RENEW_AGAIN_MS = 400;
    /** Pause between two reads of changes: six reads a second at most, while each change is still used within 200 ms. */
    private static final long GATHER_MS = 150;
    /** The same where many read: a sixth of the 3 s in which a configuration or a leaving target must be acted on. */
    private static final long GATHER_OF_MANY_MS = 500;
    /** Most daemons that count as few: with one lost, more than an eighth of the callers would be concerned. */
    private static final int FEW = 8;

    private static final long TICK_MS = 200;
    /** Wait for an answer, or for the mirror to show a write, before it is sent again. */
    private static final long RESEND_MS = 600;
    /** Step between the daemons' tries for the leave to give orders, so that mostly one of them writes. */
    private static final long TRY_STEP_MS = 120;
    /** Time for which entries that lapsed with the store's absence stay listed. */
    private static final long LAPSE_GRACE_MS = 2_300;

    private final RosterEntry self;
    private final LeaseStore store;
    private final Timers timers;
    private final Timeline timeline;
    private final Freshness leaseProof;
    private final Map<String, RosterEntry> entries = new TreeMap<>();
    private final Map<String, Long> leaseOf = new HashMap<>();
    private final Map<String, Long> lapsedUntil = new HashMap<>();
    private DownListener downListener = (life, fingerprints, seen) -> {};
    private long lease;
    private boolean opening;
    private boolean renewing;
    private boolean leaving;
    private boolean announced;
    private boolean storeAway;
    private long storeSteadyAt = Long.MIN_VALUE / 2;
    private long renewedAt;
    private long registeredAt = Long.MIN_VALUE / 2;
    private long ordersFreeSince = Long.MAX_VALUE;
    private long triedOrdersAt = Long.MIN_VALUE / 2;

    /** How a key came to be known. */
    public enum Seen {
        /** It was there when everything was read; its change may be long ago. */
        LISTED,
        /** It changed just now. */
        CHANGED
    }

    /** Receives findings of other daemons. */
    public interface DownListener {
        /**
         * Takes a finding.
         * @param life life of the target that was found down
         * @param fingerprints requests that were running on it
         * @param seen whether it was found just now
         */
        void onDown(String life, List<String> fingerprints, Seen seen);
    }

    private Roster(RosterEntry self, LeaseStore store, Timers timers, Timeline timeline) {
        this.self = self;
        this.store = store;
        this.timers = timers;
        this.timeline = timeline;
        this.leaseProof = Freshness.of(timers, TTL_MS - LEASE_MARGIN_MS);
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
        timers.every(TICK_MS, roster::tick);
        roster.tick();
        return roster;
    }

    // Queries

    /**
     * Lists the daemons that take requests.
     * @return entries by the name of the VM
     */
    public List<RosterEntry> entries() {
        expireLapsed();
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
    public long gatherMillis() {
        return isLarge() ? GATHER_OF_MANY_MS : GATHER_MS;
    }

    /**
     * Tells whether this daemon gives the orders.
     * @return true while its lease is proven to live and holds the key of that leave
     */
    public boolean mayOrder() {
        return !leaving && lease != 0 && leaseProof.isFresh() && leaseOf.getOrDefault(ORDERS, 0L) == lease;
    }

    // Commands

    /**
     * Registers what takes the findings of other daemons.
     * @param listener the listener
     */
    public void onDown(DownListener listener) {
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
        if (isLapseLikely()) {
            store.commit(
                    List.of(),
                    List.of(new Change(VMS + self.vm(), RosterEntry.LEAVING, ended)),
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
    private boolean isLapseLikely() {
        return storeAway || timers.nowMillis() - storeSteadyAt < 2 * LAPSE_GRACE_MS;
    }

    /**
     * Tells the other daemons that a target is down.
     * @param life life of the target
     * @param fingerprints requests that were running on it
     */
    public void publishDown(String life, List<String> fingerprints) {
        if (lease == 0) {
            return;
        }
        String key = DOWN + life + "/" + self.vm();
        byte[] value = String.join("\n", fingerprints).getBytes(StandardCharsets.UTF_8);
        store.commit(List.of(), List.of(new Change(key, value, lease)), outcome -> {});
    }

    /**
     * Takes a key below {@link #PREFIX} as the store holds it.
     * @param key the key
     * @param value its value
     * @param heldBy lease that holds it
     * @param seen how it came to be known
     */
    public void onRecord(String key, byte[] value, long heldBy, Seen seen) {
        leaseOf.put(key, heldBy);
        lapsedUntil.remove(key);
        if (key.startsWith(VMS)) {
            String vm = key.substring(VMS.length());
            RosterEntry.decode(vm, value)
                    .ifPresentOrElse(entry -> list(vm, entry), () -> drop(key, "the daemon is leaving"));
        } else if (key.startsWith(DOWN) && !key.endsWith("/" + self.vm())) {
            String rest = key.substring(DOWN.length());
            String text = new String(value, StandardCharsets.UTF_8);
            List<String> fingerprints = text.isEmpty() ? List.of() : Arrays.asList(text.split("\n"));
            downListener.onDown(rest.substring(0, Math.max(0, rest.lastIndexOf('/'))), fingerprints, seen);
        } else if (key.equals(ORDERS)) {
            ordersFreeSince = Long.MAX_VALUE;
        }
    }

    /**
     * Takes the removal of a key below {@link #PREFIX}.
     * @param key the key
     */
    public void onRecordGone(String key) {
        leaseOf.remove(key);
        if (key.equals(ORDERS)) {
            ordersFreeSince = timers.nowMillis();
        }
        if (!key.startsWith(VMS)) {
            return;
        }
        if (storeAway || timers.nowMillis() - storeSteadyAt < LAPSE_GRACE_MS) {
            lapsedUntil.put(key, timers.nowMillis() + LAPSE_GRACE_MS);
        } else {
            drop(key, "entry removed");
        }
    }

    /**
     * Keeps only the listed keys, after the whole list was read anew.
     * @param keys keys below {@link #PREFIX} that exist
     */
    public void retain(Collection<String> keys) {
        for (String key : List.copyOf(leaseOf.keySet())) {
            if (!keys.contains(key)) {
                onRecordGone(key);
            }
        }
        if (!keys.contains(ORDERS) && ordersFreeSince == Long.MAX_VALUE) {
            ordersFreeSince = timers.nowMillis();
        }
    }

    /** Takes note that the store no longer answers this daemon. */
    public void onStoreLost() {
        storeAway = true;
    }

    /** Takes note that the store answers again. */
    public void onStoreRegained() {
        storeAway = false;
        storeSteadyAt = timers.nowMillis();
        tick();
    }

    private void tick() {
        if (leaving) {
            return;
        }
        expireLapsed();
        long now = timers.nowMillis();
        if (lease == 0) {
            open(now);
        } else if (now - renewedAt >= renewInterval()) {
            renew(now);
        }
        if (lease != 0 && announced) {
            register(now);
            tryOrders(now);
        }
    }

    private void open(long now) {
        if (opening || now - renewedAt < TICK_MS) {
            return;
        }
        opening = true;
        renewedAt = now;
        Freshness.Moment sent = Freshness.Moment.now(timers);
        store.openLease(TTL_MS, result -> {
            opening = false;
            if (result.outcome() != Outcome.DONE) {
                return;
            }
            if (leaving) {
                store.endLease(result.lease(), outcome -> {});
                return;
            }
            lease = result.lease();
            leaseProof.onProof(sent);
            timeline.record(EventKind.LEASE_OPENED, "lease", lease, "ttlMs", result.ttlMillis());
            registeredAt = Long.MIN_VALUE / 2;
            tick();
        });
    }

    private long renewInterval() {
        if (renewing) {
            return RENEW_AGAIN_MS;
        }
        return isLarge() ? RENEW_OF_MANY_MS : RENEW_MS;
    }

    private boolean isLarge() {
        return entries.size() > FEW;
    }

    private void renew(long now) {
        renewing = true;
        renewedAt = now;
        long renewed = lease;
        Freshness.Moment sent = Freshness.Moment.now(timers);
        store.renewLease(renewed, outcome -> {
            if (lease != renewed) {
                return;
            }
            renewing &= outcome == Outcome.UNKNOWN;
            if (outcome == Outcome.DONE) {
                leaseProof.onProof(sent);
            } else if (outcome == Outcome.LEASE_ENDED) {
                timeline.record(EventKind.LEASE_LOST, "lease", renewed, "lastProofAgeMs", leaseProof.ageMillis());
                lease = 0;
                renewedAt = Long.MIN_VALUE / 2;
                tick();
            }
        });
    }

    private void register(long now) {
        String key = VMS + self.vm();
        if (leaseOf.getOrDefault(key, 0L) == lease || now - registeredAt < RESEND_MS) {
            return;
        }
        registeredAt = now;
        store.commit(List.of(), List.of(new Change(key, self.encode(), lease)), this::onCommitted);
    }

    private void tryOrders(long now) {
        if (leaseOf.containsKey(ORDERS) || ordersFreeSince == Long.MAX_VALUE || now - triedOrdersAt < RESEND_MS) {
            return;
        }
        long rank = entries.keySet().stream()
                .filter(vm -> vm.compareTo(self.vm()) < 0)
                .count();
        if (now - ordersFreeSince < rank * TRY_STEP_MS) {
            return;
        }
        triedOrdersAt = now;
        store.commit(
                List.of(new Condition(ORDERS, LeaseStore.ABSENT)),
                List.of(new Change(ORDERS, self.vm().getBytes(StandardCharsets.UTF_8), lease)),
                this::onCommitted);
    }

    private void onCommitted(@Nullable Outcome outcome) {
        if (outcome == Outcome.LEASE_ENDED) {
            lease = 0;
            renewedAt = Long.MIN_VALUE / 2;
            tick();
        }
    }

    private void expireLapsed() {
        long now = timers.nowMillis();
        for (Map.Entry<String, Long> lapsed : List.copyOf(lapsedUntil.entrySet())) {
            if (now >= lapsed.getValue()) {
                lapsedUntil.remove(lapsed.getKey());
                drop(lapsed.getKey(), "entry lapsed");
            }
        }
    }

    private void list(String vm, RosterEntry entry) {
        if (entries.put(vm, entry) == null) {
            timeline.record(EventKind.MEMBER_JOINED, "vm", vm, "address", entry.address());
        }
    }

    private void drop(String key, String reason) {
        String vm = key.substring(VMS.length());
        if (entries.remove(vm) != null) {
            timeline.record(EventKind.MEMBER_REMOVED, "vm", vm, "reason", reason);
        }
    }
}
