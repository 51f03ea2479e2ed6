package org.siskinlead.core.node;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.fakes.TestHost;

/**
 * Runs four daemons under random faults and checks the guarantees from outside. {@code -Dschedules=N -Dseed=S} selects
 * another set of runs; a failure prints the shrunk schedule.
 */
class RandomScheduleTest {
    private static final int NODE_COUNT = 4;
    private static final int MAX_CONCURRENT = 12;
    private static final int FAULT_PERIOD_MS = 20_000;
    private static final int RUN_END_MS = 60_000;
    private static final long SEED = Long.getLong("seed", 0);
    private static final Map<Disturbance.Kind, Integer> INJECTED_BY_KIND = new EnumMap<>(Disturbance.Kind.class);
    private static long schedules;
    private static long checks;
    private static long requests;
    private static long violations;
    private static final Map<String, Long> OUTCOMES = new TreeMap<>();

    @Property(seed = "20261204", edgeCases = EdgeCasesMode.NONE, generation = GenerationMode.RANDOMIZED)
    void holdsEveryInvariant(@ForAll("disturbances") List<Disturbance> disturbances, @ForAll("seeds") long seed) {
        TestBed bed = runSchedule(disturbances, seed, seed ^ SEED);
        disturbances.forEach(d -> INJECTED_BY_KIND.merge(d.kind(), 1, Integer::sum));

        schedules++;
        checks += bed.checker.checkCount();
        requests += bed.checker.requestCount();
        violations += bed.checker.violations().size();
        for (String outcome : List.of("complete", "not-run", "failed", "unknown", "open")) {
            OUTCOMES.merge(outcome, bed.checker.countWithOutcome(outcome), Long::sum);
        }
        assertWithMessage("violations").that(bed.checker.violations()).isEmpty();
    }

    @Provide
    Arbitrary<List<Disturbance>> disturbances() {
        Arbitrary<Integer> at = Arbitraries.integers().between(0, 15_000);
        Arbitrary<Integer> index = Arbitraries.integers().between(0, 7);
        Arbitrary<Integer> duration = Arbitraries.integers().between(100, 9_000);
        Arbitrary<Disturbance.Kind> kind = Arbitraries.of(Disturbance.Kind.class);
        return Combinators.combine(at, kind, index, duration)
                .as(Disturbance::new)
                .list()
                .ofMaxSize(7);
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs().between(0, 1_000_000_000);
    }

    /** Runs a schedule to its end, including the final checks. */
    static TestBed runSchedule(List<Disturbance> disturbances, long loadSeed, long bedSeed) {
        TestBed bed = TestBed.start(bedSeed, NODE_COUNT, MAX_CONCURRENT, 200);
        for (int i = 0; i < disturbances.size(); i++) {
            disturbances.get(i).schedule(bed, i);
        }
        scheduleRequests(bed, new Random(loadSeed));
        bed.time.runUntil(5_000 + FAULT_PERIOD_MS);
        bed.heal();
        bed.time.runUntil(RUN_END_MS);
        bed.checker.checkFinalState();
        return bed;
    }

    @AfterContainer
    static void report() {
        System.out.printf(
                "schedules %d, faults %s, requests %d, outcomes %s, checks %d, violations %d%n",
                schedules, INJECTED_BY_KIND, requests, OUTCOMES, checks, violations);
    }

    private static void scheduleRequests(TestBed bed, Random random) {
        for (int i = 0; i < 120; i++) {
            int number = i;
            bed.time.after(random.nextInt(FAULT_PERIOD_MS), () -> {
                TestHost host = bed.host(random.nextInt(NODE_COUNT));
                if (!host.isRunning()) {
                    return;
                }
                if (random.nextInt(3) == 0) {
                    bed.checker.sendBooking(host, "key-" + random.nextInt(20));
                } else {
                    bed.checker.sendCompletion(host, "prompt " + number, 1 + random.nextInt(60), 8_000);
                }
            });
        }
    }
}
