package org.siskinlead.core.retrybudget;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.Timeline;

/**
 * This daemon's share of the retries that all daemons together may send to a service. A daemon counts its own requests and
 * has an equal part of the slack, all of it in a small fleet. In a larger one most of the slack is a pool of chunks in the
 * store, so that it can be used where the failures are; the sum stays within the budget whoever claims them.
 */
public final class RetryBudgetShare {
    /** Era above which the store must have been restored at some time; nothing tells a new process when. */
    private static final long FIRST_ERA = 1;

    /**
     * Retry budget of all daemons together for one service.
     * @param ratio retries allowed per request
     * @param slack retries allowed per window in addition
     * @param windowMillis length of the sliding window in which requests and retries are counted, in milliseconds
     */
    public record Budget(double ratio, double slack, long windowMillis) {}

    /**
     * Interfaces through which chunks are claimed.
     * @param store the platform's store
     * @param random chooses chunks and pauses
     * @param timeline receives the events
     * @param vm name of this daemon's VM, for operators who read the keys
     */
    public record Ports(TimedLeaseStore store, RandomGenerator random, Timeline timeline, String vm) {}

    /** Purposes of a retry. */
    public enum Purpose {
        /** Starts a stream of which nothing has been delivered; limited to a fraction of the share. */
        STREAM_START,
        /** Resumes an interrupted stream, or gets a buffered response; may use the whole share. */
        RESUME_OR_BUFFERED
    }

    /** Receives the outcomes of claims. */
    public interface Listener {
        /** Handles that the store has confirmed the claim of a chunk. */
        void onChunkClaimed();

        /** Handles that a claim has failed. */
        void onClaimFailed();
    }

    private final BudgetRules rules;
    private final Timers timers;
    private final @Nullable PoolAccess pool;
    private final Map<String, ServiceBudget> services = new HashMap<>();
    private boolean knowsEra;

    private RetryBudgetShare(BudgetRules rules, Timers timers, @Nullable PoolAccess pool) {
        this.rules = rules;
        this.timers = timers;
        this.pool = pool;
    }

    /**
     * Creates an equal share, without a pool.
     * @param budget budget of all daemons together
     * @param daemonCount number of daemons that share the budget
     * @param timers clock
     * @return the share
     */
    public static RetryBudgetShare of(Budget budget, IntSupplier daemonCount, Timers timers) {
        return new RetryBudgetShare(equalShares(budget, daemonCount, timers), timers, null);
    }

    /**
     * Creates a share that claims chunks in a fleet whose equal shares are small.
     * @param budget budget of all daemons together
     * @param daemonCount number of daemons that share the budget
     * @param timers clock and scheduler
     * @param ports interfaces through which chunks are claimed
     * @return the share
     */
    public static RetryBudgetShare pooled(Budget budget, IntSupplier daemonCount, Timers timers, Ports ports) {
        FleetSize fleetSize = FleetSize.of(daemonCount, timers, 2 * budget.windowMillis());
        PoolAccess pool = new PoolAccess(
                ports,
                timers,
                PoolLayout.of(budget, BudgetRules.USABLE_FRACTION, PooledRules.STREAM_START_FRACTION),
                budget.windowMillis(),
                new WriteLimiter(timers, fleetSize::largest));
        BudgetRules rules = PooledRules.of(budget, equalShares(budget, daemonCount, timers), fleetSize, pool, timers);
        return new RetryBudgetShare(rules, timers, pool);
    }

    private static BudgetRules equalShares(Budget budget, IntSupplier daemonCount, Timers timers) {
        return BudgetRules.equalShares(budget, FleetSize.of(daemonCount, timers, 0));
    }

    // Queries

    /**
     * Gets the number of retries that can be taken now.
     * @param service name of the service
     * @param purpose purpose of the retries
     * @return at least 0
     */
    public int available(String service, Purpose purpose) {
        return service(service).available(purpose);
    }

    // Commands

    /**
     * Sets the receiver of the outcomes of claims.
     * @param listener replaces the previous one
     */
    public void setListener(Listener listener) {
        if (pool != null) {
            pool.log().setListener(listener);
        }
    }

    /**
     * Counts a request, which adds to the budget of its service.
     * @param service name of the service
     */
    public void onRequest(String service) {
        service(service).onRequest();
    }

    /**
     * Takes one retry from the share.
     * @param service name of the service
     * @param purpose purpose of the retry
     * @return false when the share is exhausted
     */
    public boolean tryAcquire(String service, Purpose purpose) {
        return service(service).tryAcquire(purpose);
    }

    /**
     * Gets the time until the share has one retry more, while requests arrive as often as now, and claims a chunk for it.
     * @param service name of the service
     * @param purpose purpose of the retry
     * @return milliseconds, 0 if it has one now; more than a window if nothing is known
     */
    public long millisToAcquire(String service, Purpose purpose) {
        return millisToAcquire(service, purpose, 0);
    }

    /**
     * Gets the time until the share has one retry more after others have taken theirs, and claims chunks for all.
     * @param service name of the service
     * @param purpose purpose of the retry
     * @param ahead number of retries that are to be sent before
     * @return milliseconds, 0 if it has as many now; more than a window if nothing is known
     */
    public long millisToAcquire(String service, Purpose purpose, int ahead) {
        return service(service).millisToAcquire(purpose, ahead);
    }

    /**
     * Handles the era of the store. A process that starts in a later one does not know how long ago the store was restored,
     * and with it whether chunks are in use whose keys are lost.
     * @param era the era, negative for a store that does not name one
     */
    public void onStoreEra(long era) {
        if (pool != null && !knowsEra && era > FIRST_ERA) {
            pool.close();
        }
        knowsEra |= era >= 0;
    }

    /** Handles that the store was restored from an older snapshot, which may lack the keys of chunks in use. */
    public void onStoreRestored() {
        if (pool != null) {
            pool.onStoreRestored();
        }
    }

    private ServiceBudget service(String service) {
        return services.computeIfAbsent(service, s -> new ServiceBudget(s, rules, timers, pool));
    }
}
