package org.siskinlead.core.balancing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.siskinlead.core.registry.TargetHealth;

/**
 * Draws a target of a plain service. The weight of each is its free slots, by its reported load where that is recent,
 * divided by its latency and raised failure rate; of two draws the one with the lower cost is chosen.
 */
public final class FreeSlots {
    /** Free slots of a target that has none, so that it is used when all others are full, too. */
    private static final double MIN_FREE_SLOTS = 0.1;

    private FreeSlots() {}

    /**
     * Draws a target.
     * @param usable targets that may get the request
     * @param random source of draws
     * @return the target, empty when there is none
     */
    public static Optional<TargetHealth> draw(List<TargetHealth> usable, RandomGenerator random) {
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        double[] cumulative = new double[usable.size()];
        double sum = 0;
        for (int i = 0; i < cumulative.length; i++) {
            sum += weight(usable.get(i));
            cumulative[i] = sum;
        }
        TargetHealth one = usable.get(drawIndex(cumulative, random));
        TargetHealth other = usable.get(drawIndex(cumulative, random));
        return Optional.of(other.cost() < one.cost() ? other : one);
    }

    private static double weight(TargetHealth target) {
        double slots = target.entry().slots() * target.capacityFraction();
        double load = Math.max(target.inFlight(), target.hasReportedLoad() ? target.reportedLoad() : 0);
        double free = Math.max(MIN_FREE_SLOTS, slots - load);
        return free / Math.max(1, target.expectedLatencyMillis()) / target.failureFactor();
    }

    private static int drawIndex(double[] cumulative, RandomGenerator random) {
        double drawn = random.nextDouble() * cumulative[cumulative.length - 1];
        int i = 0;
        while (i < cumulative.length - 1 && cumulative[i] <= drawn) {
            i++;
        }
        return i;
    }
}
