package org.siskinlead.core.ratelimit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.siskinlead.core.fakes.RateLimitFleet;
import org.siskinlead.core.fakes.RateLimitFleet.Asked;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.serving.RequestOutcome;

/** Tests that all daemons together keep the limits that targets name on the rate of their requests. */
class TargetRateLimitTest {
    private static final long CONTACT_MS = 3_000;
    private static final long WINDOW_MS = 4_000;
    private static final int ENGINES = 6;
    /** Part of the users' bound that must not be exceeded, so that a daemon more or less does not decide. */
    private static final double USED_PART_OF_RULE = 0.9;
    /** Part of the limit that must be used while callers wait. */
    private static final double MIN_USED = 0.85;

    /** Largest number of requests in a window by the users' rule. */
    private static double allowed(double perSecond) {
        return 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
    }

    private static void assertLimitKept(RateLimitFleet fleet, int engine, double perSecond, double partOfRule) {
        assertWithMessage("requests to engine %s in 4 s", engine)
                .that(fleet.mostArrivals(engine, WINDOW_MS, fleet.firstNamedAt(engine) + CONTACT_MS))
                .isAtMost((long) (partOfRule * allowed(perSecond)));
    }

    // Guards against a target getting far more requests from all daemons together than the limit that it has named.
    @ParameterizedTest
    @CsvSource({"1, 5", "4, 5", "12, 5", "38, 5", "38, 0.5", "100, 5"})
    void keepsTheLimitOfATargetForAllDaemonsTogether(int daemons, double perSecond) {
        RateLimitFleet fleet = new RateLimitFleet(daemons, ENGINES, daemons);
        fleet.rate = 120;
        fleet.run(3_000);
        fleet.limitAll(perSecond);
        fleet.run(CONTACT_MS + 12_000);

        for (int engine = 0; engine < ENGINES; engine++) {
            assertLimitKept(fleet, engine, perSecond, USED_PART_OF_RULE);
        }
    }

    // Guards against every daemon saving up a request while callers are few, and all sending theirs at once.
    @ParameterizedTest
    @CsvSource({"4, 0", "4, 5", "38, 0.5", "38, 5", "100, 2"})
    void keepsTheLimitWhenCallersComeAllAtOnceAfterAQuietTime(int daemons, double perSecond) {
        RateLimitFleet fleet = new RateLimitFleet(daemons, ENGINES, 100 + daemons);
        fleet.rate = 60;
        fleet.run(3_000);
        fleet.limitAll(perSecond);
        fleet.run(3_000);
        fleet.rate = 0;
        fleet.run(15_000);
        fleet.rate = 400;
        fleet.run(6_000);

        for (int engine = 0; engine < ENGINES; engine++) {
            assertLimitKept(fleet, engine, perSecond, USED_PART_OF_RULE);
        }
    }

    // Guards against callers being refused for a limit that leaves room.
    @ParameterizedTest
    @CsvSource({"1, 5", "4, 2", "12, 5", "38, 5", "100, 5"})
    void usesTheLimitWhileCallersWait(int daemons, double perSecond) {
        RateLimitFleet fleet = new RateLimitFleet(daemons, ENGINES, 200 + daemons);
        fleet.rate = 250;
        fleet.run(3_000);
        fleet.limitAll(perSecond);
        fleet.run(CONTACT_MS);
        long from = fleet.timers.nowMillis();
        fleet.run(20_000);

        double used = 0;
        for (int engine = 0; engine < ENGINES; engine++) {
            used += fleet.arrivalsBetween(engine, from, from + 20_000) / (20 * perSecond * ENGINES);
        }
        assertThat(used).isAtLeast(MIN_USED);
    }

    // Guards against a limit being exceeded by daemons that come and go, each with a share of its own.
    @Test
    void keepsTheLimitWhileDaemonsComeAndGo() {
        RateLimitFleet fleet = new RateLimitFleet(12, ENGINES, 301);
        fleet.rate = 120;
        fleet.run(3_000);
        fleet.limitAll(5);
        fleet.run(CONTACT_MS);
        for (int round = 0; round < 8; round++) {
            fleet.stop(round);
            fleet.stop((round + 5) % 12);
            fleet.run(3_500);
            fleet.start(round);
            fleet.start((round + 5) % 12);
            fleet.run(1_000);
        }

        for (int engine = 0; engine < ENGINES; engine++) {
            assertLimitKept(fleet, engine, 5, 1);
        }
    }

    // Guards against a limit that a target lowers, or raises again, being kept as it was named first.
    @Test
    void followsALimitThatChanges() {
        RateLimitFleet fleet = new RateLimitFleet(12, ENGINES, 302);
        fleet.rate = 250;
        fleet.run(3_000);
        fleet.limitAll(20);
        fleet.run(8_000);
        fleet.limitAll(2);
        fleet.run(2_000);
        long lowered = fleet.timers.nowMillis();
        fleet.run(8_000);
        fleet.limitAll(12);
        fleet.run(4_000);
        long raised = fleet.timers.nowMillis();
        fleet.run(5_000);

        for (int engine = 0; engine < ENGINES; engine++) {
            assertThat(fleet.arrivalsBetween(engine, lowered, lowered + WINDOW_MS))
                    .isAtMost((long) allowed(2));
            assertThat(fleet.arrivalsBetween(engine, raised, raised + 5_000)).isAtLeast((long) (MIN_USED * 5 * 12));
        }
    }

    // Guards against a daemon that sends nothing to a target keeping its limit for ever.
    @ParameterizedTest
    @CsvSource({"4", "12", "38"})
    void usesTheTargetsFullyOnceTheyNameNoLimit(int daemons) {
        RateLimitFleet fleet = new RateLimitFleet(daemons, ENGINES, 400 + daemons);
        fleet.rate = 120;
        fleet.run(3_000);
        fleet.limitAll(1);
        fleet.run(10_000);
        fleet.limitAll(TargetResponse.UNLIMITED);
        fleet.run(5_000);
        long from = fleet.timers.nowMillis();
        fleet.run(3_000);

        assertThat(fleet.shareBegun(from, from + 2_000)).isEqualTo(1.0);
        fleet.daemons.forEach(
                d -> assertThat(d.gateway.rateLimits().limitedInstances()).isEmpty());
        assertThat(fleet.store.keys().stream().filter(k -> k.startsWith(RateLimitReports.PREFIX)))
                .isEmpty();
    }

    // Guards against refusals while other targets have room.
    @Test
    void sendsToOtherTargetsWhatALimitedOneMayNotTake() {
        RateLimitFleet fleet = new RateLimitFleet(4, ENGINES, 303);
        fleet.rate = 60;
        fleet.run(3_000);
        for (int engine = 0; engine < ENGINES - 1; engine++) {
            fleet.limit(engine, 1);
        }
        long from = fleet.timers.nowMillis();
        fleet.run(20_000);

        assertThat(fleet.shareBegun(from, from + 18_000)).isEqualTo(1.0);
    }

    // Guards against a daemon that has just started sending as if there was no limit.
    @Test
    void knowsTheLimitsBeforeTheFirstRequestAfterARestart() {
        RateLimitFleet fleet = new RateLimitFleet(4, ENGINES, 304);
        fleet.rate = 60;
        fleet.run(3_000);
        fleet.limitAll(5);
        fleet.run(5_000);
        fleet.stop(2);
        fleet.start(2);

        TargetRateLimits limits = fleet.daemons.get(2).gateway.rateLimits();
        assertThat(limits.limitedInstances()).hasSize(ENGINES);
        limits.limitedInstances()
                .forEach(instance -> assertThat(limits.perSecond(instance)).isEqualTo(5));
    }

    // Guards against callers that wait in vain for targets whose limits leave no room in time.
    @Test
    void refusesAtOnceWhatNoTargetCanTake() {
        RateLimitFleet fleet = new RateLimitFleet(4, ENGINES, 305);
        fleet.rate = 150;
        fleet.run(3_000);
        fleet.limitAll(1);
        fleet.run(5_000);
        long from = fleet.timers.nowMillis();
        fleet.run(5_000);
        fleet.rate = 0;
        fleet.run(10);
        List<Asked> asked = fleet.asked.stream().filter(a -> a.at() >= from).toList();
        List<Asked> refused =
                asked.stream().filter(a -> a.reply().refusal != null).toList();

        assertThat((double) refused.size() / asked.size()).isAtLeast(0.85);
        for (Asked request : refused) {
            assertThat(request.reply().refusal.outcome()).isEqualTo(RequestOutcome.NOT_RUN);
            assertThat(request.reply().refusal.retryAfterMillis()).isAtLeast(800);
        }
        long late = refused.stream()
                .filter(a -> a.reply().refusal.detail().startsWith("no target had free capacity"))
                .count();
        assertThat((double) late / refused.size()).isAtMost(0.1);
    }

    // Guards against the reports of limits overloading the store.
    @Test
    void writesFewReportsWhenMostTargetsNameLimitsAtOnce() {
        RateLimitFleet fleet = new RateLimitFleet(38, 100, 306);
        fleet.rate = 260;
        fleet.run(3_000);
        for (int engine = 0; engine < 70; engine++) {
            fleet.limit(engine, 2);
        }
        int before = fleet.store.writes;
        fleet.run(20_000);

        assertThat(fleet.store.writes - before).isAtMost(300);
    }
}
