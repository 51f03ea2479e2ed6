package org.siskinlead.core.retrybudget;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.time.Timers;

/**
 * Passes calls on to a store and measures how long it takes to answer. All parts of a daemon use the same one, so that the
 * renewals of its lease tell how long a claim takes before the first claim.
 */
public final class TimedLeaseStore implements LeaseStore {
    /** Age at which an observation says nothing any more; a daemon renews its lease once a second or more often. */
    private static final long MAX_AGE_MS = 3_000;

    private final LeaseStore store;
    private final Timers timers;
    private final RecentTime answerTime;

    private TimedLeaseStore(LeaseStore store, Timers timers) {
        this.store = store;
        this.timers = timers;
        this.answerTime = new RecentTime(timers, MAX_AGE_MS);
    }

    /**
     * Creates a measuring client of a store.
     * @param store takes the calls
     * @param timers clock
     * @return the client
     */
    public static TimedLeaseStore of(LeaseStore store, Timers timers) {
        return new TimedLeaseStore(store, timers);
    }

    /** Gets the time that the store has lately taken to answer a call, in milliseconds; empty if none was answered. */
    OptionalLong expectedMillis() {
        return answerTime.expectedMillis();
    }

    @Override
    public void openLease(long ttlMillis, Consumer<LeaseResult> onResult) {
        long sentAt = timers.nowMillis();
        store.openLease(ttlMillis, result -> {
            onOutcome(result.outcome(), sentAt);
            onResult.accept(result);
        });
    }

    @Override
    public void renewLease(long lease, Consumer<Outcome> onResult) {
        store.renewLease(lease, timed(onResult));
    }

    @Override
    public void endLease(long lease, Consumer<Outcome> onResult) {
        store.endLease(lease, timed(onResult));
    }

    @Override
    public void commit(List<Condition> conditions, List<Change> changes, Consumer<Outcome> onResult) {
        store.commit(conditions, changes, timed(onResult));
    }

    private Consumer<Outcome> timed(Consumer<Outcome> onResult) {
        long sentAt = timers.nowMillis();
        return outcome -> {
            onOutcome(outcome, sentAt);
            onResult.accept(outcome);
        };
    }

    private void onOutcome(Outcome outcome, long sentAt) {
        // A call that could not be sent, or was rejected, says nothing of the time that another one takes.
        if (outcome != Outcome.UNKNOWN && outcome != Outcome.REJECTED) {
            answerTime.onTaken(timers.nowMillis() - sentAt);
        }
    }
}
