package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.roster.Roster;

/** A store with leases that can be away, turn daemons away, and lose answers; tells the attached rosters of changes. */
public final class FakeLeaseStore {
    private static final long ANSWER_MS = 4;
    private static final long TIMEOUT_MS = 700;

    /** How calls fare. */
    public enum Mode {
        WORKING,
        /** Nothing arrives, and leases end. */
        AWAY,
        /** Calls take effect and their answers are lost. */
        ANSWERS_LOST
    }

    private record Item(byte[] value, long revision, long lease) {}

    private final ManualTimers timers;
    private final Map<String, Item> items = new TreeMap<>();
    private final Map<Long, Long> endsAt = new HashMap<>();
    private final Map<Long, Long> ttl = new HashMap<>();
    private final List<Roster> watchers = new ArrayList<>();
    private long revision = 1;
    private long leases;
    public Mode mode = Mode.WORKING;
    public int writes;

    public FakeLeaseStore(ManualTimers timers) {
        this.timers = timers;
        timers.every(50, this::expire);
    }

    public void attach(Roster roster) {
        watchers.add(roster);
        items.forEach((key, item) -> roster.onKeyPresent(key, item.value(), item.lease(), Roster.Discovery.LISTED));
        roster.retainKeys(items.keySet());
    }

    public List<String> keys() {
        return List.copyOf(items.keySet());
    }

    /** One daemon's way to the store, which can be cut. */
    public Client client() {
        return new Client();
    }

    /** One daemon's way to the store. */
    public final class Client implements LeaseStore {
        public boolean cut;
        /** Whether every other renewal is lost on its way. */
        public boolean losesRenewals;

        public int renewals;

        private boolean arrives() {
            return !cut && mode != Mode.AWAY;
        }

        private <T> void answer(Consumer<T> onResult, T result, T unknown) {
            boolean lost = !arrives() || mode == Mode.ANSWERS_LOST;
            timers.after(lost ? TIMEOUT_MS : ANSWER_MS, () -> onResult.accept(lost ? unknown : result));
        }

        @Override
        public void openLease(long ttlMillis, Consumer<LeaseResult> onResult) {
            long lease = 0;
            if (arrives()) {
                lease = ++leases;
                ttl.put(lease, ttlMillis);
                endsAt.put(lease, timers.nowMillis() + ttlMillis);
            }
            answer(onResult, new LeaseResult(Outcome.DONE, lease, ttlMillis), new LeaseResult(Outcome.UNKNOWN, 0, 0));
        }

        @Override
        public void renewLease(long lease, Consumer<Outcome> onResult) {
            Outcome outcome = Outcome.LEASE_ENDED;
            renewals++;
            if (losesRenewals && renewals % 2 == 0) {
                timers.after(TIMEOUT_MS, () -> onResult.accept(Outcome.UNKNOWN));
                return;
            }
            if (arrives() && endsAt.containsKey(lease)) {
                endsAt.put(lease, timers.nowMillis() + ttl.get(lease));
                outcome = Outcome.DONE;
            }
            answer(onResult, outcome, Outcome.UNKNOWN);
        }

        @Override
        public void endLease(long lease, Consumer<Outcome> onResult) {
            if (arrives()) {
                end(lease);
            }
            answer(onResult, Outcome.DONE, Outcome.UNKNOWN);
        }

        @Override
        public void commit(List<Condition> conditions, List<Change> changes, Consumer<Outcome> onResult) {
            writes++;
            answer(onResult, arrives() ? apply(conditions, changes) : Outcome.UNKNOWN, Outcome.UNKNOWN);
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
            if (change.lease() != 0 && !endsAt.containsKey(change.lease())) {
                return LeaseStore.Outcome.LEASE_ENDED;
            }
        }
        for (LeaseStore.Change change : changes) {
            revision++;
            if (change.value() == null) {
                remove(change.key());
            } else {
                items.put(change.key(), new Item(change.value(), revision, change.lease()));
                watchers.forEach(
                        w -> w.onKeyPresent(change.key(), change.value(), change.lease(), Roster.Discovery.CHANGED));
            }
        }
        return LeaseStore.Outcome.DONE;
    }

    private void remove(String key) {
        items.remove(key);
        watchers.forEach(w -> w.onKeyRemoved(key));
    }

    private void end(long lease) {
        endsAt.remove(lease);
        List<String> held = items.entrySet().stream()
                .filter(e -> e.getValue().lease() == lease)
                .map(Map.Entry::getKey)
                .toList();
        held.forEach(this::remove);
    }

    private void expire() {
        for (Map.Entry<Long, Long> lease : List.copyOf(endsAt.entrySet())) {
            if (timers.nowMillis() >= lease.getValue()) {
                end(lease.getKey());
            }
        }
    }
}
