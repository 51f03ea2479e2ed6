package org.siskinlead.core.retrybudget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Daemons that share a retry budget and a store, in virtual time, each with the retries that wait at it. */
final class RetryFleet {
    static final String SERVICE = "s";

    private static final long STEP_MS = 10;
    private static final long RENEWAL_MS = 1_000;
    private static final long LEASE_MS = 2_000;
    private static final long TIMEOUT_MS = 700;

    final ManualTimers timers = new ManualTimers();
    final FakeLeaseStore store = new FakeLeaseStore(timers);
    final List<Daemon> daemons = new ArrayList<>();
    final BudgetChecker checker;
    final Random random;
    private final RetryBudgetShare.Budget budget;
    private final Deque<Long> writes = new ArrayDeque<>();
    private long era = 1;
    int mostWritesPerSecond;
    int denied;
    int claimed;
    /** Part of the calls to the store that are applied up to 3 s late or not at all, or whose answer is lost. */
    double unreliable;

    RetryFleet(RetryBudgetShare.Budget budget, int count, long seed) {
        this.budget = budget;
        checker = new BudgetChecker(budget);
        random = new Random(seed);
        timers.advance(1_000);
        for (int i = 0; i < count; i++) {
            daemons.add(new Daemon());
        }
        daemons.forEach(Daemon::countDaemons);
    }

    private record Waiting(Purpose purpose, long until) {}

    /**
     * One process. It takes requests once it has read the roster, and the roster that it sees stays as it is while it does not
     * reach the store. Daemons that run and reach the store are on the roster, also right after an outage.
     */
    final class Daemon implements LeaseStore {
        private final FakeLeaseStore.Client client = store.client();
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        final RetryBudgetShare share;
        private long knownEra = era;
        private long listedUntil = timers.nowMillis() + LEASE_MS;
        private int knownDaemons;
        boolean ended;

        private Daemon() {
            TimedLeaseStore timed = TimedLeaseStore.of(this, timers);
            Timeline timeline = Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {});
            share = RetryBudgetShare.pooled(
                    budget,
                    this::countDaemons,
                    timers,
                    new RetryBudgetShare.Ports(timed, new Random(random.nextLong()), timeline, "vm"));
            share.setListener(new RetryBudgetShare.Listener() {
                @Override
                public void onChunkClaimed() {
                    claimed++;
                }

                @Override
                public void onClaimFailed() {}
            });
            share.onStoreEra(era);
            timers.after(random.nextInt((int) RENEWAL_MS), () -> renew(timed));
        }

        private void renew(TimedLeaseStore timed) {
            if (!ended) {
                timed.renewLease(0, outcome -> {});
                timers.after(RENEWAL_MS, () -> renew(timed));
            }
        }

        private boolean reachesStore() {
            return !client.disconnected && store.mode == FakeLeaseStore.Mode.WORKING;
        }

        private int countDaemons() {
            if (reachesStore()) {
                knownDaemons = (int) daemons.stream()
                        .filter(d -> timers.nowMillis() < d.listedUntil || (d.reachesStore() && !d.ended))
                        .count();
            }
            return Math.max(1, knownDaemons);
        }

        private boolean serves() {
            return !ended && knownDaemons > 0;
        }

        void end() {
            ended = true;
            client.disconnected = true;
            waiting.clear();
        }

        void partition(boolean cut) {
            client.disconnected = cut;
        }

        /** Asks for a retry, which may wait for as long as its caller does. */
        void need(Purpose purpose, long patienceMillis) {
            Waiting retry = new Waiting(purpose, timers.nowMillis() + patienceMillis);
            if (!serve(retry, waiting.size())) {
                waiting.add(retry);
            }
        }

        /** Serves or denies a retry; returns false while it waits. */
        private boolean serve(Waiting retry, int ahead) {
            if (share.available(SERVICE, retry.purpose()) > ahead && share.tryAcquire(SERVICE, retry.purpose())) {
                checker.onRetry(timers.nowMillis());
                return true;
            }
            if (share.millisToAcquire(SERVICE, retry.purpose(), ahead) <= retry.until() - timers.nowMillis()) {
                return false;
            }
            denied++;
            return true;
        }

        private void step() {
            listedUntil = reachesStore() && !ended ? timers.nowMillis() + LEASE_MS : listedUntil;
            if (!ended) {
                countDaemons();
                waiting.removeIf(retry -> serve(retry, 0));
            }
        }

        // Calls to the store

        @Override
        public void openLease(long ttlMillis, Consumer<LeaseResult> onResult) {
            write();
            LeaseResult unknown = new LeaseResult(Outcome.UNKNOWN, 0, 0);
            call(done -> client.openLease(ttlMillis, done), onResult, unknown);
        }

        @Override
        public void renewLease(long lease, Consumer<Outcome> onResult) {
            write();
            call(done -> client.renewLease(lease, done), onResult, Outcome.UNKNOWN);
        }

        @Override
        public void endLease(long lease, Consumer<Outcome> onResult) {
            throw new UnsupportedOperationException("nothing is returned early");
        }

        @Override
        public void commit(List<Condition> conditions, List<Change> changes, Consumer<Outcome> onResult) {
            write();
            call(done -> client.commit(conditions, changes, done), onResult, Outcome.UNKNOWN);
        }

        private <T> void call(Consumer<Consumer<T>> call, Consumer<T> onResult, T unknown) {
            long sentInEra = era;
            if (random.nextDouble() < unreliable) {
                timers.after(random.nextInt(3_000), () -> call.accept(ignored -> {}));
                timers.after(TIMEOUT_MS, () -> onResult.accept(unknown));
                return;
            }
            call.accept(result -> {
                boolean answered = reachesStore();
                // As the platform's client does: the first answer of a new era voids what is under way.
                if (answered && knownEra != era) {
                    knownEra = era;
                    share.onStoreRestored();
                }
                onResult.accept(answered && sentInEra == era ? result : unknown);
            });
        }

        private void write() {
            long now = timers.nowMillis();
            writes.add(now);
            while (writes.peek() <= now - 1_000) {
                writes.remove();
            }
            mostWritesPerSecond = Math.max(mostWritesPerSecond, writes.size());
        }
    }

    /** Chooses a daemon for a caller; one that has ended is not chosen while others run. */
    Daemon anyRunning() {
        List<Daemon> running = daemons.stream().filter(Daemon::serves).toList();
        return running.get(random.nextInt(running.size()));
    }

    void restart(int index) {
        daemons.get(index).end();
        daemons.set(index, new Daemon());
    }

    void restoreStore() {
        store.restoreEmpty();
        era++;
    }

    /** Lets requests arrive at daemons that run, and time pass. */
    void run(long millis, double requestsPerSecond, Consumer<Daemon> onRequest) {
        double due = 0;
        for (long passed = 0; passed < millis; passed += STEP_MS) {
            timers.advance(STEP_MS);
            daemons.forEach(Daemon::step);
            for (due += requestsPerSecond * STEP_MS / 1_000; due >= 1; due--) {
                Daemon daemon = anyRunning();
                daemon.share.onRequest(SERVICE);
                checker.onRequest(timers.nowMillis());
                onRequest.accept(daemon);
            }
            checker.check(timers.nowMillis());
        }
    }
}
