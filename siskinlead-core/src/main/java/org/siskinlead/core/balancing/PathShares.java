package org.siskinlead.core.balancing;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.chains.PathFinder;
import org.siskinlead.core.chains.TargetLoads;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.time.Timers;

/**
 * Draws the paths of requests for the engines of one service from a plan, which is recomputed when a request needs it and
 * the load, the targets or their state have changed.
 */
public final class PathShares {
    /** Interval at which the plan is compared with load and targets. */
    private static final long CHECK_INTERVAL_MS = 250;
    /** Least age of a plan that is recomputed since a path is gone or the load grew fast. */
    private static final long MIN_PLAN_AGE_MS = 100;
    /** Relative change of the load from which the plan is recomputed at a check. */
    private static final double SIGNIFICANT_CHANGE = 0.15;
    /** Relative growth of the load from which the plan is recomputed before the next check. */
    private static final double FAST_GROWTH = 0.3;
    /**
     * Load planned beyond the estimate, as a multiple of what has just been added. With 1, targets refused 8 of 7,700
     * requests twice when all callers of 71 daemons returned.
     */
    private static final double GROWTH_ALLOWANCE = 2;
    /** Draws after which a search takes the place of the plan. */
    private static final int MAX_DRAWS = 6;
    /** Load of a first target relative to the planned one from which a second path is drawn. */
    private static final double OVERLOADED = 1.25;
    /** Weight of the newest request in the mean number of tokens. */
    private static final double TOKENS_WEIGHT = 0.05;

    private final Timers timers;
    private final RandomGenerator random;
    private final Runnable onPlan;
    private final FleetLoadEstimate estimate;
    private PathPlan plan = PathPlan.empty();
    private Collection<TargetHealth> targets = List.of();
    private @Nullable EngineSpec spec;
    private double meanTokens;
    private double plannedRequests;
    private long plannedState;
    /** Ratio of reported to planned loads above 1, where the estimate of the load was too low. */
    private double usualRelativeLoad = 1;

    private long plannedAt = Long.MIN_VALUE / 2;
    private long checkedAt = Long.MIN_VALUE / 2;

    private PathShares(Timers timers, IntSupplier daemonCount, RandomGenerator random, Runnable onPlan) {
        this.timers = timers;
        this.random = random;
        this.onPlan = onPlan;
        this.estimate = FleetLoadEstimate.of(timers, daemonCount);
    }

    /**
     * Creates the shares of the paths of a service.
     * @param timers clock
     * @param daemonCount number of daemons that send requests
     * @param random source of draws
     * @param onPlan called whenever a plan was computed
     * @return shares without a plan
     */
    public static PathShares of(Timers timers, IntSupplier daemonCount, RandomGenerator random, Runnable onPlan) {
        return new PathShares(timers, daemonCount, random, onPlan);
    }

    // Queries

    /**
     * Gets the loads of targets according to the plan.
     * @return loads from all daemons
     */
    public TargetLoads loads() {
        return plan.loads();
    }

    /**
     * Tells whether the engines have room for another request of the fleet.
     * @return false while the plan does not place all load, and own requests and reports show that this is no estimation error
     */
    public boolean hasRoom() {
        return !plan.isFull() || !estimate.certainlyReaches(plan.placed(), targets, plan);
    }

    // Commands

    /**
     * Updates the estimated load, and the plan if necessary. Precedes each use of the plan.
     * @param engine parameters of the engines
     * @param registered targets of the service, usable or not
     * @param tokens expected number of tokens of the request that needs a path
     */
    public void update(EngineSpec engine, Collection<TargetHealth> registered, double tokens) {
        targets = registered;
        meanTokens = meanTokens == 0 ? tokens : meanTokens + TOKENS_WEIGHT * (tokens - meanTokens);
        int own = 0;
        for (TargetHealth target : registered) {
            own += target.inFlight();
        }
        estimate.update(own);
        long now = timers.nowMillis();
        if (!engine.equals(spec)) {
            spec = engine;
            recompute();
        } else if (now - checkedAt >= CHECK_INTERVAL_MS) {
            checkedAt = now;
            double reported = FleetLoadEstimate.relativeReports(targets, plan);
            usualRelativeLoad = Double.isNaN(reported) ? 1 : Math.max(1, reported);
            double change = Math.abs(requestsToPlan() / plannedRequests - 1);
            if (change > SIGNIFICANT_CHANGE || stateOfTargets() != plannedState) {
                recompute();
            }
        } else if (now - plannedAt >= MIN_PLAN_AGE_MS
                && allowanceForGrowth() * estimate.fromOwnRequests() > (1 + FAST_GROWTH) * plannedRequests
                && requestsToPlan() > (1 + FAST_GROWTH) * plannedRequests) {
            recompute();
        }
    }

    /**
     * Draws a path. Draws again when a path is not usable, and for another one when its first target is overloaded.
     * @param tokens expected number of tokens of the request
     * @param permitted whether the request may use a path
     * @return the path, empty when several draws gave none that is permitted
     */
    public Optional<HopPath> draw(double tokens, Predicate<HopPath> permitted) {
        HopPath chosen = null;
        for (int i = 0; i < MAX_DRAWS && !plan.isEmpty(); i++) {
            HopPath path = plan.draw(random);
            if (!isIntact(path)) {
                if (timers.nowMillis() - plannedAt >= MIN_PLAN_AGE_MS) {
                    recompute();
                }
            } else if (hasOwnRoom(path, tokens) && permitted.test(path)) {
                if (chosen != null) {
                    return Optional.of(relativeLoad(path) < relativeLoad(chosen) ? path : chosen);
                }
                chosen = path;
                if (relativeLoad(path) <= OVERLOADED) {
                    break;
                }
            }
        }
        return Optional.ofNullable(chosen);
    }

    private void recompute() {
        EngineSpec engine = Objects.requireNonNull(spec);
        List<TargetHealth> usable =
                targets.stream().filter(TargetHealth::isUsable).toList();
        plannedRequests = requestsToPlan();
        plannedState = stateOfTargets();
        plan = PathPlan.compute(engine, usable, plannedRequests, meanTokens, estimate.growth());
        usualRelativeLoad = 1;
        plannedAt = timers.nowMillis();
        checkedAt = plannedAt;
        onPlan.run();
    }

    /** Gets the load to plan for: more than now while it grows, since what was sent by the plans before stays in flight. */
    private double requestsToPlan() {
        return estimate.requests(targets, plan) * allowanceForGrowth();
    }

    private double allowanceForGrowth() {
        return 1 + GROWTH_ALLOWANCE * estimate.growth();
    }

    /** Computes a number that changes with the set of usable targets and what determines their capacity. */
    private long stateOfTargets() {
        long state = 0;
        for (TargetHealth target : targets) {
            if (target.isUsable()) {
                long quarters = Math.round(4 * target.slowdown());
                long percent = Math.round(100 * target.capacityFraction());
                // The sum does not depend on the order of the targets.
                state += Objects.hash(target, target.entry().layers(), quarters, percent);
            }
        }
        return state;
    }

    private static boolean isIntact(HopPath path) {
        for (Hop hop : path.hops()) {
            LayerRange held = hop.target().entry().layers();
            if (!hop.target().isUsable()
                    || hop.target().hasEnded()
                    || held == null
                    || held.from() > hop.layers().from()
                    || held.to() < hop.layers().to()) {
                return false;
            }
        }
        return true;
    }

    private boolean hasOwnRoom(HopPath path, double tokens) {
        return PathFinder.of(Objects.requireNonNull(spec), OwnLoads.INSTANCE).requestsThatFit(path, tokens) >= 1;
    }

    /**
     * Computes the load of the first target relative to the planned one. A report below the plan counts as the plan, so that
     * a target that reports too little does not get more than its share.
     */
    private double relativeLoad(HopPath path) {
        TargetHealth first = path.first().target();
        double planned = usualRelativeLoad * Math.max(1, plan.requestsAsFirst(first));
        double reported = first.hasReportedLoad() ? first.reportedLoad() : 0;
        return (Math.max(planned, reported) + first.inFlight()) / planned;
    }
}
