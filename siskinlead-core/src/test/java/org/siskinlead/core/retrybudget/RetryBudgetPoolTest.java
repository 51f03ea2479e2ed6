package org.siskinlead.core.retrybudget;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.retrybudget.RetryBudgetShare.Purpose;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests how one daemon uses the pool when the store, the daemon or a clock fails. */
class RetryBudgetPoolTest {
    private static final RetryBudgetShare.Budget BUDGET = new RetryBudgetShare.Budget(0.2, 326, 10_000);
    private static final long CLAIM_MS = 20;

    private final ManualTimers timers = new ManualTimers();
    private final FakeLeaseStore store = new FakeLeaseStore(timers);
    private final Timeline timeline = Timeline.of("vm", HybridClock.of(timers::wallMillis), event -> {});
    private final ShortLeases client = new ShortLeases(store.client());
    private int daemons = 71;
    private final RetryBudgetShare share = startDaemon(client);

    /** Client of a store that can grant leases for a shorter time than requested. */
    private static final class ShortLeases implements LeaseStore {
        private final LeaseStore store;
        private long mostMillis = Long.MAX_VALUE;

        ShortLeases(LeaseStore store) {
            this.store = store;
        }

        @Override
        public void openLease(long ttlMillis, Consumer<LeaseResult> onResult) {
            store.openLease(Math.min(ttlMillis, mostMillis), onResult);
        }

        @Override
        public void renewLease(long lease, Consumer<Outcome> onResult) {
            store.renewLease(lease, onResult);
        }

        @Override
        public void endLease(long lease, Consumer<Outcome> onResult) {
            throw new UnsupportedOperationException("nothing is returned early");
        }

        @Override
        public void commit(List<Condition> conditions, List<Change> changes, Consumer<Outcome> onResult) {
            store.commit(conditions, changes, onResult);
        }
    }

    private RetryBudgetShare startDaemon(LeaseStore leaseStore) {
        return RetryBudgetShare.pooled(
                BUDGET,
                () -> daemons,
                timers,
                new RetryBudgetShare.Ports(TimedLeaseStore.of(leaseStore, timers), new Random(1), timeline, "vm"));
    }

    private int available() {
        return share.available("s", Purpose.RESUME_OR_BUFFERED);
    }

    /** Asks for a number of retries and gives the claims time to be confirmed. */
    private void claim(int retries) {
        share.millisToAcquire("s", Purpose.RESUME_OR_BUFFERED, retries - 1);
        timers.advance(CLAIM_MS);
    }

    // Guards against a process that uses again what the one before has used.
    @Test
    void hasNoPrivateSlackInTheFirstWindowButClaims() {
        daemons = 21;
        assertThat(available()).isEqualTo(0);

        claim(3);
        assertThat(available()).isEqualTo(3);

        timers.advance(BUDGET.windowMillis());
        assertThat(available()).isEqualTo(1);
    }

    // Guards against a chunk that is used while another daemon may hold it.
    @Test
    void usesAChunkForAShortTimeOnly() {
        claim(3);
        timers.advance(PoolAccess.USE_MS);

        assertThat(available()).isEqualTo(0);
    }

    // Guards against a machine that was suspended and takes its chunks for valid.
    @Test
    void usesNoChunkAfterTheMachineWasSuspended() {
        claim(3);
        timers.suspend(PoolAccess.USE_MS);

        assertThat(available()).isEqualTo(0);
    }

    // Guards against two uses of a chunk in one window.
    @Test
    void holdsAChunkForAWindowAfterItsUse() {
        claim(3);
        timers.advance(PoolAccess.USE_MS + BUDGET.windowMillis());

        assertThat(store.keys()).hasSize(3);
        timers.advance(1_000);
        assertThat(store.keys()).isEmpty();
    }

    // Guards against retries on the ground of a claim that was lost, or that another daemon won.
    @Test
    void grantsNothingForAnUnknownOutcome() {
        store.mode = FakeLeaseStore.Mode.ANSWERS_LOST;
        claim(3);
        timers.advance(1_500);

        assertThat(available()).isEqualTo(0);
        assertThat(share.millisToAcquire("s", Purpose.STREAM_START)).isAtLeast(BUDGET.windowMillis());
    }

    // Guards against requests that wait for the store, or that have no retry at all without it.
    @Test
    void hasItsPrivatePartWhileTheStoreIsDown() {
        store.mode = FakeLeaseStore.Mode.UNAVAILABLE;
        for (int i = 0; i < 30; i++) {
            share.onRequest("s");
        }
        timers.advance(1);

        // 0.92 x 0.2 x 30 requests
        assertThat(available()).isEqualTo(5);
        assertThat(share.tryAcquire("s", Purpose.RESUME_OR_BUFFERED)).isTrue();
    }

    // Guards against chunks in use whose keys the restored store has lost.
    @Test
    void claimsNothingForOneWindowAndOneUseAfterTheStoreWasRestored() {
        share.millisToAcquire("s", Purpose.RESUME_OR_BUFFERED, 2);
        share.onStoreRestored();
        timers.advance(CLAIM_MS);
        assertThat(available()).isEqualTo(0);

        timers.advance(BUDGET.windowMillis() + PoolAccess.USE_MS - CLAIM_MS);
        claim(3);
        assertThat(available()).isEqualTo(0);

        timers.advance(1_000);
        claim(3);
        assertThat(available()).isAtLeast(3);
    }

    // Guards against a process that starts just after the store was restored, which nothing tells it.
    @Test
    void claimsNothingAtOnceWhenItStartsInALaterEra() {
        share.onStoreEra(2);
        claim(3);

        assertThat(available()).isEqualTo(0);
    }

    // Guards against a store that keeps a key for a shorter time than its chunk is used.
    @Test
    void usesNoChunkUnderALeaseThatIsTooShort() {
        client.mostMillis = BUDGET.windowMillis();
        claim(3);

        assertThat(available()).isEqualTo(0);
        assertThat(store.keys()).isEmpty();
    }

    // Guards against streams that use up what interrupted ones need, which their callers lose otherwise.
    @Test
    void keepsAPartOfThePoolForResumptions() {
        List<RetryBudgetShare> fleet = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            fleet.add(startDaemon(store.client()));
        }
        int starts = 0;
        for (int step = 0; step < 500; step++) {
            for (RetryBudgetShare daemon : fleet) {
                starts += daemon.tryAcquire("s", Purpose.STREAM_START) ? 1 : 0;
            }
            timers.advance(10);
        }
        claim(8);
        timers.advance(1_000);

        assertThat(starts).isGreaterThan(200);
        assertThat(available()).isAtLeast(4);
    }

    // Guards against a storm of claims at a store that all daemons need.
    @Test
    void writesSeldomWhileThePoolIsDrained() {
        List<RetryBudgetShare> fleet = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            fleet.add(startDaemon(store.client()));
        }
        int before = 0;
        int most = 0;
        for (int step = 0; step < 4_000; step++) {
            fleet.forEach(daemon -> daemon.millisToAcquire("s", Purpose.RESUME_OR_BUFFERED, 9));
            timers.advance(1);
            if (step % 1_000 == 999) {
                most = Math.max(most, store.writes - before);
                before = store.writes;
            }
        }

        assertThat(most).isLessThan(1_000);
        // Each daemon has one event for a window, however many of its claims failed.
        timers.advance(BUDGET.windowMillis());
        assertThat(timeline.list(event -> event.kind() == EventKind.RETRY_CHUNKS_CLAIMED))
                .hasSize(daemons);
    }

    // Guards against a change of behaviour in small fleets, and where the slack is ample.
    @Test
    void hasAnEqualShareInASmallFleet() {
        daemons = 8;

        // 0.92 x 326 / 8
        assertThat(available()).isEqualTo(37);
        claim(60);
        assertThat(store.keys()).isEmpty();
    }

    // Guards against daemons that use the whole budget as a small fleet while others are only partitioned from it.
    @Test
    void keepsItsPrivatePartForTwoWindowsAfterTheFleetHasShrunk() {
        timers.advance(BUDGET.windowMillis());
        daemons = 2;
        timers.advance(BUDGET.windowMillis());
        assertThat(available()).isEqualTo(0);

        timers.advance(BUDGET.windowMillis() + 1_000);
        assertThat(available()).isEqualTo(149);
    }

    // Guards against claims that the others' last equal shares still fill.
    @Test
    void claimsNothingAtOnceWhenASmallFleetGrows() {
        daemons = 8;
        timers.advance(1_500);
        daemons = 12;
        claim(3);
        assertThat(store.keys()).isEmpty();
    }
}
