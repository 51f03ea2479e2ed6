package org.siskinlead.core.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntSupplier;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.time.Timers;

/**
 * Estimates the requests in flight of all daemons on the engines of a service, from those of this daemon and from the
 * loads that engines report.
 */
final class FleetLoadEstimate {
    /** Time over which own requests in flight are averaged. */
    private static final double SMOOTHING_MS = 3_000;
    /** The same with few requests in flight, which fluctuate more: 370 daemons send one every 2 s each. */
    private static final double FEW_SMOOTHING_MS = 10_000;

    private static final double FEW_REQUESTS = 2;
    /** Time since the first request before which all load counts as growth, as when all daemons have started at once. */
    private static final long MIN_OBSERVED_MS = 1_500;
    /** Least number of own requests on reporting engines for their reports to be used. */
    private static final int MIN_OWN_REQUESTS = 4;
    /** Least number of reporting engines, so that the median does not rest on one false report. */
    private static final int MIN_REPORTS = 3;
    /** Largest estimate from reports, as a multiple of the one from own requests. */
    private static final double MAX_REPORTED_PER_OWN = 2;
    /** Deviations subtracted from the own requests in flight now, since a steady load of few requests fluctuates. */
    private static final double LIKELY_DEVIATIONS = 1;
    /** Least requests of each daemon that are assumed, before any are known. */
    private static final double MIN_REQUESTS = 0.5;
    /** Average below which this daemon has had almost no requests, so that one is a sign of growth. */
    private static final double IDLE_REQUESTS = 0.1;
    /** Deviations subtracted for a load that is exceeded almost certainly. */
    private static final double CERTAIN_DEVIATIONS = 2;

    private final Timers timers;
    private final IntSupplier daemonCount;
    private final long startedAt;
    /** Moving average that starts at 0, and the part of its weight that is on observations. */
    private double average;

    private double observed;
    private double smoothed;
    private int own;
    private long updatedAt;

    private FleetLoadEstimate(Timers timers, IntSupplier daemonCount) {
        this.timers = timers;
        this.daemonCount = daemonCount;
        this.startedAt = timers.nowMillis();
        this.updatedAt = startedAt;
    }

    static FleetLoadEstimate of(Timers timers, IntSupplier daemonCount) {
        return new FleetLoadEstimate(timers, daemonCount);
    }

    /** Load planned for an engine, and the load that it reports relative to this. */
    private record Report(double planned, double relativeLoad) {}

    // Queries

    /** Estimates the load from own requests, with the one that is about to be sent. */
    double fromOwnRequests() {
        double now = lowerBound(own + 1, LIKELY_DEVIATIONS);
        return daemonCount.getAsInt() * Math.max(MIN_REQUESTS, Math.max(smoothed, now));
    }

    /** Estimates the load, from reports where these are significant. */
    double requests(Collection<TargetHealth> targets, PathPlan plan) {
        double fromOwn = fromOwnRequests();
        double reported = fromReports(targets, plan);
        if (Double.isNaN(reported)) {
            return fromOwn;
        }
        // Reports are late while the load grows.
        double atLeast = Math.max(own + 1, daemonCount.getAsInt() * lowerBound(own + 1, LIKELY_DEVIATIONS));
        return Math.max(atLeast, Math.min(MAX_REPORTED_PER_OWN * fromOwn, reported));
    }

    /**
     * Gets the part of the load by which it has just grown beyond the average.
     * @return 0 for a steady load, towards 1 when all callers arrive at once
     */
    double growth() {
        double likely = lowerBound(own + 1, LIKELY_DEVIATIONS);
        double now = smoothed < IDLE_REQUESTS ? Math.max(MIN_REQUESTS, likely) : likely;
        return now <= smoothed ? 0 : 1 - smoothed / now;
    }

    /** Tells whether the load reaches a limit according to own requests and to reports, beyond random deviations. */
    boolean certainlyReaches(double limit, Collection<TargetHealth> targets, PathPlan plan) {
        if (daemonCount.getAsInt() * lowerBound(own, CERTAIN_DEVIATIONS) < limit) {
            return false;
        }
        double reported = fromReports(targets, plan);
        return Double.isNaN(reported) || reported >= limit;
    }

    private static double fromReports(Collection<TargetHealth> targets, PathPlan plan) {
        return relativeReports(targets, plan, MIN_OWN_REQUESTS) * plan.placed();
    }

    /** Gets the usual ratio of reported to planned loads; {@code NaN} with too few reports. */
    static double relativeReports(Collection<TargetHealth> targets, PathPlan plan) {
        return relativeReports(targets, plan, 0);
    }

    /** Computes the median by planned load, so that false reports of a minority have no effect. */
    private static double relativeReports(Collection<TargetHealth> targets, PathPlan plan, int minOwnRequests) {
        List<Report> reports = new ArrayList<>();
        int ownOnReporting = 0;
        double sum = 0;
        for (TargetHealth target : targets) {
            double planned = target.hasReportedLoad() ? plan.requestsAsFirst(target) : 0;
            if (planned > 0) {
                reports.add(new Report(planned, target.reportedLoad() / planned));
                ownOnReporting += target.inFlight();
                sum += planned;
            }
        }
        if (ownOnReporting < minOwnRequests || reports.size() < MIN_REPORTS) {
            return Double.NaN;
        }
        reports.sort(Comparator.comparingDouble(Report::relativeLoad));
        double below = 0;
        for (Report report : reports) {
            below += report.planned();
            if (below >= sum / 2) {
                return report.relativeLoad();
            }
        }
        return Double.NaN;
    }

    /** Reduces a count of random events by a number of standard deviations. */
    private static double lowerBound(int count, double deviations) {
        return Math.max(0, count - deviations * Math.sqrt(count));
    }

    // Commands

    /** Records the own requests in flight on all engines of the service. */
    void update(int ownRequests) {
        long now = timers.nowMillis();
        double smoothingMillis = smoothed < FEW_REQUESTS ? FEW_SMOOTHING_MS : SMOOTHING_MS;
        double weight = 1 - Math.exp((updatedAt - now) / smoothingMillis);
        average += weight * (own - average);
        observed += weight * (1 - observed);
        smoothed = now - startedAt < MIN_OBSERVED_MS ? average : average / observed;
        own = ownRequests;
        updatedAt = now;
    }
}
