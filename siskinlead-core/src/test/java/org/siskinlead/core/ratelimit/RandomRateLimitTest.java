package org.siskinlead.core.ratelimit;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.RateLimitFleet;
import org.siskinlead.core.forwarding.TargetResponse;

/**
 * Simulates several daemons whose targets name limits that change, end and return, while daemons stop, start and are cut
 * from the store, the store is down or restored from an empty copy, and callers come in surges; checks the users' rule. {@code -DrateLimitRuns=N
 * -Dseed=S} selects the number of runs and another set of them.
 */
class RandomRateLimitTest {
    private static final long SEED = Long.getLong("seed", 0);
    private static final int RUNS = Integer.getInteger("rateLimitRuns", 12);
    private static final int STEPS = 25;
    private static final int MAX_DAEMONS = 12;
    /** Largest number of daemons of every third run. */
    private static final int MAX_MANY_DAEMONS = 40;

    private static final int MAX_ENGINES = 8;
    private static final double MAX_LIMIT = 12;
    private static final double MAX_RATE = 250;

    @Property(seed = "20261204", tries = 1, edgeCases = EdgeCasesMode.NONE, generation = GenerationMode.RANDOMIZED)
    void keepsTheRuleWhateverHappens(@ForAll("seeds") long seed) {
        for (int run = 0; run < RUNS; run++) {
            long runSeed = (seed ^ SEED) + run;
            RateLimitFleet fleet = play(new Random(runSeed));
            assertWithMessage("violations of the run with seed %s", runSeed)
                    .that(fleet.rule.violations())
                    .isEmpty();
        }
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs().between(0, 1_000_000_000);
    }

    private static RateLimitFleet play(Random random) {
        int daemons = 1 + random.nextInt(random.nextInt(3) == 0 ? MAX_MANY_DAEMONS : MAX_DAEMONS);
        int engines = 1 + random.nextInt(MAX_ENGINES);
        RateLimitFleet fleet = new RateLimitFleet(daemons, engines, random.nextLong());
        fleet.rate = MAX_RATE * random.nextDouble();
        fleet.run(2_000);
        for (int step = 0; step < STEPS; step++) {
            switch (random.nextInt(9)) {
                case 0, 1 -> fleet.limit(random.nextInt(engines), MAX_LIMIT * Math.pow(random.nextDouble(), 2));
                case 2 -> fleet.limitAll(MAX_LIMIT * Math.pow(random.nextDouble(), 2));
                case 3 -> fleet.limit(random.nextInt(engines), TargetResponse.UNLIMITED);
                case 4 -> {
                    fleet.rate = 0;
                    fleet.run(random.nextInt(15_000));
                    fleet.rate = MAX_RATE * random.nextDouble();
                }
                case 5 -> stopOrStart(fleet, random.nextInt(daemons));
                case 8 -> fleet.restoreStore();
                case 6 -> fleet.cutFromStore(random.nextInt(daemons), random.nextBoolean());
                default ->
                    fleet.store.mode =
                            random.nextInt(3) > 0 ? FakeLeaseStore.Mode.WORKING : FakeLeaseStore.Mode.UNAVAILABLE;
            }
            fleet.run(200 + random.nextInt(3_000));
        }
        return fleet;
    }

    private static void stopOrStart(RateLimitFleet fleet, int daemon) {
        if (!fleet.isStopped(daemon)) {
            fleet.stop(daemon);
        } else if (fleet.store.mode == FakeLeaseStore.Mode.WORKING) {
            // A daemon that cannot read the store does not serve.
            fleet.start(daemon);
        }
    }
}
