package org.siskinlead.core.serving;

import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.routing.Chain;
import org.siskinlead.core.routing.Target;

/** Tracks the step latency of each target, from which timeouts and the delay in its queue are derived. */
final class StepLatencies {
    private static final long MIN_TIMEOUT_MS = 300;
    private static final long MAX_TIMEOUT_MS = 2_000;
    private static final long PREFILL_EXTRA_MS = 400;
    private static final double TIMEOUT_FACTOR = 6;
    private static final double SMOOTHING = 0.1;
    /** Weight of a step that was faster than the baseline although the target also ran other work. */
    private static final double FASTER_STEP_WEIGHT = 0.3;
    /** Growth per step under load, so that the baseline can rise although the target is never without other work. */
    private static final double BASELINE_GROWTH_FACTOR = 1.001;

    private final Map<String, Latency> byTarget = new HashMap<>();

    private static final class Latency {
        private double averageMillis;
        private double baselineMillis;
    }

    /** Returns the timeout of a step, in milliseconds. */
    long timeoutMillis(String target, boolean prefill) {
        Latency known = byTarget.get(target);
        double averageMillis = known == null ? 0 : known.averageMillis;
        long timeout = Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, (long) (TIMEOUT_FACTOR * averageMillis)));
        return prefill ? timeout + PREFILL_EXTRA_MS : timeout;
    }

    /** Returns the time per token on a chain whose targets have no queues, in milliseconds. */
    double baselineMillis(Chain chain) {
        double sum = 0;
        for (Target target : chain.targets()) {
            Latency known = byTarget.get(target.id());
            sum += known == null ? 0 : known.baselineMillis;
        }
        return Math.max(1, sum);
    }

    /** Records how long a target took for a step, and whether it ran no other work. */
    void onAnswered(String target, long millis, boolean alone) {
        Latency known = byTarget.computeIfAbsent(target, t -> {
            Latency first = new Latency();
            first.averageMillis = millis;
            first.baselineMillis = millis;
            return first;
        });
        known.averageMillis += SMOOTHING * (millis - known.averageMillis);
        if (alone) {
            known.baselineMillis += SMOOTHING * (millis - known.baselineMillis);
        } else if (millis < known.baselineMillis) {
            known.baselineMillis += FASTER_STEP_WEIGHT * SMOOTHING * (millis - known.baselineMillis);
        } else {
            known.baselineMillis *= BASELINE_GROWTH_FACTOR;
        }
    }
}
