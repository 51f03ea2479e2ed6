package org.siskinlead.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.queue.WaitQueue;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.time.Timers;

/**
 * Bounds the requests in flight for each model. The bound grows while requests wait and tokens come about as fast as on
 * targets without queues, and shrinks while they come much slower, in the manner of TCP Vegas (Brakmo and Peterson,
 * 1995).
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
     * Creates gates that adapt over time.
     * @param timers time
     * @return the gates
     */
    public static ModelConcurrencyLimits of(Timers timers) {
        ModelConcurrencyLimits gates = new ModelConcurrencyLimits(timers);
        timers.every(ADAPT_INTERVAL_MS, () -> gates.limits.values().forEach(Limit::adapt));
        return gates;
    }

    /**
     * Takes a place in flight, now or later.
     * @param model the model and version
     * @param priority priority of the request
     * @param maxWaitMillis longest wait in milliseconds
     * @param outcome what to do when the wait ends
     */
    public void acquire(ModelVersion model, int priority, long maxWaitMillis, WaitQueue.Callback outcome) {
        Limit gate = limitOf(model);
        if (gate.waiting.size() == 0 && gate.tryAcquire()) {
            outcome.granted();
        } else {
            gate.waiting.add(priority, maxWaitMillis, outcome);
        }
    }

    /**
     * Gives back a place in flight.
     * @param model the model and version
     */
    public void release(ModelVersion model) {
        Limit gate = limitOf(model);
        gate.inFlight--;
        gate.grantWaiting();
    }

    /**
     * Notes how long a token took.
     * @param model the model and version
     * @param slowness time since the token before, divided by the time on targets without queues
     */
    public void onToken(ModelVersion model, double slowness) {
        Limit gate = limitOf(model);
        gate.windowTokens++;
        gate.windowSlowness += slowness;
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
