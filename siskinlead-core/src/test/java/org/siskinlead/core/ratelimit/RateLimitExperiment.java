package org.siskinlead.core.ratelimit;

import java.util.Locale;
import org.siskinlead.core.fakes.RateLimitFleet;

/**
 * Prints, by number of daemons, what targets get that name a limit: the most requests in 4 s as a share of what the
 * users' rule allows, while callers wait and when they return after a quiet time, and the mean rate while they wait as a
 * share of the limit. Argument: seeds for each line.
 */
public final class RateLimitExperiment {
    private static final int[] DAEMONS = {4, 12, 38, 100, 370};
    private static final double[] LIMITS = {0.5, 2, 5, 20};
    private static final int ENGINES = 12;
    private static final long CONTACT_MS = 3_000;
    private static final long WINDOW_MS = 4_000;
    private static final long RUN_MS = 20_000;
    /** Requests a second at each daemon, as at the peak of the target scale. */
    private static final double REQUESTS_PER_DAEMON_PER_SECOND = 2.2;

    private static final long QUIET_MS = 15_000;
    private static final long SURGE_MS = 5_000;
    private static final double SURGE_FACTOR = 2;
    private static final double RULE_FACTOR = 1.5;
    private static final double RULE_SLACK = 5;

    private RateLimitExperiment() {}

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        System.out.println("daemons limit most/allowed(max) used(mean) used(least engine) store-writes/s");
        for (int daemons : DAEMONS) {
            for (double limit : LIMITS) {
                System.out.println(measure(daemons, limit, seeds));
            }
        }
    }

    private static String measure(int daemons, double limit, int seeds) {
        double allowed = RULE_FACTOR * limit * WINDOW_MS / 1_000 + RULE_SLACK;
        double most = 0;
        double used = 0;
        double leastUsed = Double.MAX_VALUE;
        double writes = 0;
        for (int seed = 0; seed < seeds; seed++) {
            RateLimitFleet fleet = new RateLimitFleet(daemons, ENGINES, 1_000L * daemons + seed);
            fleet.rate = Math.max(REQUESTS_PER_DAEMON_PER_SECOND * daemons, 3 * ENGINES * limit);
            fleet.run(CONTACT_MS);
            for (int engine = 0; engine < ENGINES; engine++) {
                fleet.limit(engine, limit);
            }
            int writesBefore = fleet.store.writes;
            fleet.run(CONTACT_MS + RUN_MS);
            long end = fleet.timers.nowMillis();
            double rate = fleet.rate;
            fleet.rate = 0;
            fleet.run(QUIET_MS);
            fleet.rate = SURGE_FACTOR * rate;
            fleet.run(SURGE_MS);
            writes += (fleet.store.writes - writesBefore) * 1_000.0 / (CONTACT_MS + RUN_MS);
            for (int engine = 0; engine < ENGINES; engine++) {
                long from = fleet.firstNamedAt(engine) + CONTACT_MS;
                most = Math.max(most, fleet.mostArrivals(engine, WINDOW_MS, from) / allowed);
                double share = from < end - WINDOW_MS
                        ? fleet.arrivalsBetween(engine, from, end) * 1_000.0 / (end - from) / limit
                        : 0;
                used += share / ENGINES / seeds;
                leastUsed = Math.min(leastUsed, share);
            }
        }
        return String.format(
                Locale.ROOT, "%d %.1f %.2f %.2f %.2f %.2f", daemons, limit, most, used, leastUsed, writes / seeds);
    }
}
