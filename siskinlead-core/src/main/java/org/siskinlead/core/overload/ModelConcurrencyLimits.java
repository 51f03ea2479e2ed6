package org.siskinlead.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.queue.WaitQueue;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.time.Timers;

/**
 * Limits the requests in flight for each model. The limit shrinks while tokens arrive much slower than on targets
 * without queues, and otherwise grows while requests wait, like the window of TCP Vegas (Brakmo and Peterson, 1995).
 */
public final class ModelConcurrencyLimits {
    private static final long ADAPT_INTERVAL_MS = 200;
    private static final int MIN_LIMIT = 4;
    private static final int INITIAL_LIMIT = 32;
    private static final int MAX_LIMIT = 4_096;
    private static final double MAX_SLOWNESS = 4.0;
    private static final double DECREASE_FACTOR = 0.9;
    private static final double INCREASE_FACTOR = 1.05;
    private static final int MAX_WAITING_REQUESTS = 512;

    private final Timers timers;
    private final Map<ModelVersion, Limit> limits = new HashMap<>();

    private ModelConcurrencyLimits(Timers timers) {
        this.timers = timers;
    }

    /**
     * Creates limits that adapt at regular intervals.
     * @param timers clock and scheduler
     * @return the limits
     */
    public static ModelConcurrencyLimits of(Timers timers) {
        ModelConcurrencyLimits modelLimits = new ModelConcurrencyLimits(timers);
        timers.every(ADAPT_INTERVAL_MS, () -> modelLimits.limits.values().forEach(Limit::adapt));
        return modelLimits;
    }

    /**
     * Acquires a permit for one request, immediately or after waiting.
     * @param model the model and version
     * @param priority priority of the request
     * @param maxWaitMillis maximum wait in milliseconds
     * @param callback called once, when the permit is granted or the wait ends without it
     */
    public void acquire(ModelVersion model, int priority, long maxWaitMillis, WaitQueue.Callback callback) {
        Limit limit = limitOf(model);
        if (limit.waiting.size() == 0 && limit.tryAcquire()) {
            callback.granted();
        } else {
            limit.waiting.add(priority, maxWaitMillis, callback);
        }
    }

    /**
     * Returns the permit of a request that has ended.
     * @param model the model and version
     */
    public void release(ModelVersion model) {
        Limit limit = limitOf(model);
        limit.inFlight--;
        limit.grantWaiting();
    }

    /**
     * Records how long a token took.
     * @param model the model and version
     * @param slowness time since the previous token, divided by the time on targets without queues
     */
    public void onToken(ModelVersion model, double slowness) {
        Limit limit = limitOf(model);
        limit.windowTokens++;
        limit.windowSlowness += slowness;
    }

    private Limit limitOf(ModelVersion model) {
        return limits.computeIfAbsent(model, m -> new Limit());
    }

    private final class Limit {
        private final WaitQueue waiting = WaitQueue.of(timers, MAX_WAITING_REQUESTS);
        private double limit = INITIAL_LIMIT;
        private int inFlight;
        private long windowTokens;
        private double windowSlowness;

        boolean tryAcquire() {
            if (inFlight >= (int) limit) {
                return false;
            }
            inFlight++;
            return true;
        }

        void grantWaiting() {
            waiting.grantWhile(this::tryAcquire);
        }

        void adapt() {
            if (windowTokens == 0) {
                return;
            }
            double slowness = windowSlowness / windowTokens;
            windowTokens = 0;
            windowSlowness = 0;
            if (slowness > MAX_SLOWNESS) {
                limit = Math.max(MIN_LIMIT, limit * DECREASE_FACTOR);
            } else if (waiting.size() > 0) {
                limit = Math.min(MAX_LIMIT, limit * INCREASE_FACTOR + 1);
            }
            grantWaiting();
        }
    }
}
