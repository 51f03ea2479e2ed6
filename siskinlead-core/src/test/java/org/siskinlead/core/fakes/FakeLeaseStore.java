package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.siskinlead.core.gateway.Gateway;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.roster.Roster;

/** In-memory lease store that can be unavailable or lose answers, and notifies the attached rosters of changes. */
public final class FakeLeaseStore {
    private static final long ANSWER_DELAY_MS = 4;
    private static final long TIMEOUT_MS = 700;

    /** State of the store. */
    public enum Mode {
        WORKING,
        /** No call arrives, so leases expire. */
        UNAVAILABLE,
        /** Calls take effect, but their answers are lost. */
        ANSWERS_LOST
    }

    private record Item(byte[] value, long revision, long lease) {}

    private final ManualTimers timers;
    private final Map<String, Item> items = new TreeMap<>();
    private final Map<Long, Long> expiresAtByLease = new HashMap<>();
    private final Map<Long, Long> ttlMillisByLease = new HashMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private long revision = 1;
    private long lastLease;
    public Mode mode = Mode.WORKING;
    public int writes;
    /** Time after which watchers hear of a change. */
    public long watchDelayMillis;

    /** Receives the keys that exist when it is attached, and then every change. */
    public interface Watcher {
        void onKeyPresent(String key, byte[] value, long lease, Roster.Discovery discovery);

        void onKeyRemoved(String key);
    }

    public FakeLeaseStore(ManualTimers timers) {
        this.timers = timers;
        timers.every(50, this::removeExpiredLeases);
    }

    public void attach(Roster roster) {
        attach(new Watcher() {
            @Override
            public void onKeyPresent(String key, byte[] value, long lease, Roster.Discovery discovery) {
                roster.onKeyPresent(key, value, lease, discovery);
            }

            @Override
            public void onKeyRemoved(String key) {
                roster.onKeyRemoved(key);
            }
        });
        roster.retainKeys(items.keySet());
    }

    public void attach(Gateway gateway) {
        attach(new Watcher() {
            @Override
            public void onKeyPresent(String key, byte[] value, long lease, Roster.Discovery discovery) {
                gateway.onKeyPresent(key, value, lease, discovery);
            }

            @Override
            public void onKeyRemoved(String key) {
                gateway.onKeyRemoved(key);
            }
        });
        gateway.retainKeys(items.keySet());
    }

    /** Loses everything, as if restored from a snapshot taken before the first write; leases are numbered from 1 again. */
    public void restoreEmpty() {
        items.clear();
        expiresAtByLease.clear();
        lastLease = 0;
        revision = 1;
    }

    public void detachAll() {
        watchers.clear();
    }

    public void attach(Watcher watcher) {
        watchers.add(watcher);
        items.forEach((key, item) -> watcher.onKeyPresent(key, item.value(), item.lease(), Roster.Discovery.LISTED));
    }

    private void notifyWatchers(Consumer<Watcher> change) {
        if (watchDelayMillis == 0) {
            watchers.forEach(change);
        } else {
            timers.after(watchDelayMillis, () -> watchers.forEach(change));
        }
    }

    public List<String> keys() {
        return List.copyOf(items.keySet());
    }

    /** Creates the client of one daemon. */
    public Client client() {
        return new Client();
    }

    /** Client of one daemon, which can be disconnected from the store. */
    public final class Client implements LeaseStore {
        public boolean disconnected;
        /** Whether every other renewal is lost before it reaches the store. */
        public boolean losesEveryOtherRenewal;

        public int renewalCount;

        private boolean isReachable() {
            return !disconnected && mode != Mode.UNAVAILABLE;
        }

        private <T> void answer(Consumer<T> onResult, T result, T unknown) {
            boolean lost = !isReachable() || mode == Mode.ANSWERS_LOST;
            timers.after(lost ? TIMEOUT_MS : ANSWER_DELAY_MS, () -> onResult.accept(lost ? unknown : result));
        }

        @Override
        public void openLease(long ttlMillis, Consumer<LeaseResult> onResult) {
            long lease = 0;
            if (isReachable()) {
                lease = ++lastLease;
                ttlMillisByLease.put(lease, ttlMillis);
                expiresAtByLease.put(lease, timers.nowMillis() + ttlMillis);
            }
            answer(onResult, new LeaseResult(Outcome.DONE, lease, ttlMillis), new LeaseResult(Outcome.UNKNOWN, 0, 0));
        }

        @Override
        public void renewLease(long lease, Consumer<Outcome> onResult) {
            Outcome outcome = Outcome.LEASE_ENDED;
            renewalCount++;
            if (losesEveryOtherRenewal && renewalCount % 2 == 0) {
                timers.after(TIMEOUT_MS, () -> onResult.accept(Outcome.UNKNOWN));
                return;
            }
            if (isReachable() && expiresAtByLease.containsKey(lease)) {
                expiresAtByLease.put(lease, timers.nowMillis() + ttlMillisByLease.get(lease));
                outcome = Outcome.DONE;
            }
            answer(onResult, outcome, Outcome.UNKNOWN);
        }

        @Override
        public void endLease(long lease, Consumer<Outcome> onResult) {
            if (isReachable()) {
                removeLease(lease);
            }
            answer(onResult, Outcome.DONE, Outcome.UNKNOWN);
        }

        @Override
        public void commit(List<Condition> conditions, List<Change> changes, Consumer<Outcome> onResult) {
            writes++;
            answer(onResult, isReachable() ? apply(conditions, changes) : Outcome.UNKNOWN, Outcome.UNKNOWN);
        }
    }

    private LeaseStore.Outcome apply(List<LeaseStore.Condition> conditions, List<LeaseStore.Change> changes) {
        for (LeaseStore.Condition condition : conditions) {
            Item item = items.get(condition.key());
            if ((item == null ? 0 : item.revision()) != condition.revision()) {
                return LeaseStore.Outcome.CONFLICT;
            }
        }
        for (LeaseStore.Change change : changes) {
            if (change.lease() != 0 && !expiresAtByLease.containsKey(change.lease())) {
                return LeaseStore.Outcome.LEASE_ENDED;
            }
        }
        for (LeaseStore.Change change : changes) {
            revision++;
            if (change.value() == null) {
                remove(change.key());
            } else {
                items.put(change.key(), new Item(change.value(), revision, change.lease()));
                notifyWatchers(
                        w -> w.onKeyPresent(change.key(), change.value(), change.lease(), Roster.Discovery.CHANGED));
            }
        }
        return LeaseStore.Outcome.DONE;
    }

    private void remove(String key) {
        items.remove(key);
        notifyWatchers(w -> w.onKeyRemoved(key));
    }

    private void removeLease(long lease) {
        expiresAtByLease.remove(lease);
        List<String> held = items.entrySet().stream()
                .filter(e -> e.getValue().lease() == lease)
                .map(Map.Entry::getKey)
                .toList();
        held.forEach(this::remove);
    }

    private void removeExpiredLeases() {
        for (Map.Entry<Long, Long> lease : List.copyOf(expiresAtByLease.entrySet())) {
            if (timers.nowMillis() >= lease.getValue()) {
                removeLease(lease.getKey());
            }
        }
    }
}
