package org.siskinlead.core.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.chains.PathFinder;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.chains.TargetLoads;
import org.siskinlead.core.registry.TargetHealth;

/**
 * Paths that share the load of a fleet. The load is placed in steps, each on the path that is cheapest with the steps
 * before. A steady load is drawn in proportion to the load of a path divided by its duration, since requests on slow paths
 * are in flight for longer.
 */
final class PathPlan {
    /** Parts in which the load is placed: with 284 requests in flight, each is a tenth of what an engine holds. */
    private static final int STEPS = 32;
    /** Maximum number of paths, as steps are smaller on targets that are almost full. */
    private static final int MAX_PATHS = 64;

    private static final double MIN_STEP = 1e-6;

    private final PlannedLoads loads;
    private final List<HopPath> paths;
    private final double[] cumulativeWeights;
    private final double placed;
    private final boolean full;

    private PathPlan(PlannedLoads loads, List<HopPath> paths, double[] cumulative, double placed, boolean full) {
        this.loads = loads;
        this.paths = paths;
        this.cumulativeWeights = cumulative;
        this.placed = placed;
        this.full = full;
    }

    static PathPlan empty() {
        return new PathPlan(new PlannedLoads(), List.of(), new double[0], 0, false);
    }

    /**
     * Computes a plan.
     * @param spec parameters of the engines
     * @param usable engines that may get requests
     * @param requests load to place, in requests in flight
     * @param tokens expected number of tokens of each request
     * @param growth part of the load by which it has just grown
     * @return a plan, which places less where not all fits
     */
    static PathPlan compute(
            EngineSpec spec, Collection<TargetHealth> usable, double requests, double tokens, double growth) {
        PlannedLoads loads = new PlannedLoads();
        PathFinder finder = PathFinder.of(spec, loads);
        Search search = new Search(finder, PathFinder.byDataCentre(usable), tokens);
        List<HopPath> paths = new ArrayList<>();
        List<Double> amounts = new ArrayList<>();
        double placed = 0;
        boolean full = false;
        while (!full && requests - placed > MIN_STEP && paths.size() < MAX_PATHS) {
            HopPath path = search.cheapest();
            if (path == null) {
                full = true;
                continue;
            }
            double room = Math.min(
                    finder.requestsThatFit(path, tokens),
                    loads.freeSlots(path.first().target()));
            double amount = Math.min(Math.min(requests / STEPS, requests - placed), Math.max(MIN_STEP, room));
            loads.place(path, amount, tokens);
            search.onPlaced(path);
            paths.add(path);
            amounts.add(amount);
            placed += amount;
        }
        return new PathPlan(loads, paths, cumulativeWeights(finder, paths, amounts, growth), placed, full);
    }

    /**
     * Computes the weights of the draws. What keeps a steady load in flight is drawn by load and duration; what adds to it,
     * by load only, since slow paths do not have their requests yet.
     */
    private static double[] cumulativeWeights(
            PathFinder finder, List<HopPath> paths, List<Double> amounts, double growth) {
        double[] perMillis = new double[paths.size()];
        double placed = 0;
        double ended = 0;
        for (int i = 0; i < perMillis.length; i++) {
            perMillis[i] = 1 / finder.stepMillis(paths.get(i));
            placed += amounts.get(i);
            ended += amounts.get(i) * perMillis[i];
        }
        double[] cumulative = new double[paths.size()];
        double sum = 0;
        for (int i = 0; i < cumulative.length; i++) {
            sum += amounts.get(i) * ((1 - growth) * perMillis[i] / ended + growth / placed);
            cumulative[i] = sum;
        }
        return cumulative;
    }

    /** Searches of each data centre, repeated only after load was placed there. */
    private static final class Search {
        private final PathFinder finder;
        private final Map<String, List<TargetHealth>> byDataCentre;
        private final double tokens;
        private final Map<String, Optional<HopPath>> found = new HashMap<>();

        Search(PathFinder finder, Map<String, List<TargetHealth>> byDataCentre, double tokens) {
            this.finder = finder;
            this.byDataCentre = byDataCentre;
            this.tokens = tokens;
        }

        /** Finds the cheapest path within a data centre, or one across data centres where none has any. */
        @Nullable
        HopPath cheapest() {
            HopPath best = null;
            for (Map.Entry<String, List<TargetHealth>> group : byDataCentre.entrySet()) {
                HopPath path = found.computeIfAbsent(
                                group.getKey(), d -> finder.findAmong(group.getValue(), tokens, MemoryCheck.ENFORCED))
                        .orElse(null);
                if (path != null && (best == null || path.cost() < best.cost())) {
                    best = path;
                }
            }
            if (best == null && byDataCentre.size() > 1) {
                List<TargetHealth> all = new ArrayList<>();
                byDataCentre.values().forEach(all::addAll);
                return finder.findAmong(all, tokens, MemoryCheck.ENFORCED).orElse(null);
            }
            return best;
        }

        void onPlaced(HopPath path) {
            for (Hop hop : path.hops()) {
                found.remove(hop.target().entry().dataCentre());
            }
        }
    }

    // Queries

    /** Gets the loads of the targets if the requests are spread by this plan. */
    TargetLoads loads() {
        return loads;
    }

    boolean isEmpty() {
        return paths.isEmpty();
    }

    /** Tells whether no target has room for more load than was placed. */
    boolean isFull() {
        return full;
    }

    /** Gets the load that was placed, in requests in flight. */
    double placed() {
        return placed;
    }

    /** Gets the requests in flight that the plan gives a target as the first one of a path. */
    double requestsAsFirst(TargetHealth target) {
        return loads.requestsAsFirst(target);
    }

    /** Draws a path by the shares. The plan must not be empty. */
    HopPath draw(RandomGenerator random) {
        double drawn = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int i = 0;
        while (i < cumulativeWeights.length - 1 && cumulativeWeights[i] <= drawn) {
            i++;
        }
        return paths.get(i);
    }
}
