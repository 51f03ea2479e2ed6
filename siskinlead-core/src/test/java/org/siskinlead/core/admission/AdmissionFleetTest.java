package org.siskinlead.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinlead.core.admission.AdmissionFleet.Caller;

/**
 * Load of 135 requests a second on engines for 199: the least urgent kind comes ten times as often for 20 s, and later the
 * most urgent one three times as often for 15 s. The load of the whole fleet is the same for any number of daemons.
 */
class AdmissionFleetTest {
    private static final double USUAL = 45;
    private static final long SECOND = 1_000;
    /** Time after the start of an overload in which daemons learn of it. */
    private static final long LEARNING_MS = 5 * SECOND;

    private static final Map<Integer, Day> DAYS = new HashMap<>();

    /** A fleet after the load, with the times of its parts. */
    private record Day(AdmissionFleet fleet, long start, long leastBurst, long rest, long urgentBurst, long end) {
        static synchronized Day of(int daemons) {
            return DAYS.computeIfAbsent(daemons, n -> run(new AdmissionFleet(n, 1), () -> {}));
        }

        static Day run(AdmissionFleet fleet, Runnable inLeastBurst) {
            long start = run(fleet, 10, USUAL, USUAL);
            run(fleet, 10, USUAL, 10 * USUAL);
            inLeastBurst.run();
            run(fleet, 10, USUAL, 10 * USUAL);
            long rest = run(fleet, 15, USUAL, USUAL);
            long urgentBurst = run(fleet, 15, 3 * USUAL, USUAL);
            long end = run(fleet, 25, USUAL, USUAL);
            fleet.run(AdmissionFleet.PATIENCE_MS + 20 * SECOND, 0, 0, 0);
            return new Day(fleet, start, start + 10 * SECOND, rest, urgentBurst, end);
        }

        private static long run(AdmissionFleet fleet, int seconds, double urgent, double least) {
            long from = fleet.timers.nowMillis();
            fleet.run(seconds * SECOND, urgent, USUAL, least);
            return from;
        }

        double served(long from, long to, Predicate<Caller> which) {
            List<Caller> asked = fleet.callers.stream()
                    .filter(c -> c.at >= from && c.at < to && which.test(c))
                    .toList();
            return asked.stream().filter(c -> c.complete).count() / (double) Math.max(1, asked.size());
        }

        double servedKind(int kind, long from, long to) {
            return served(from, to, c -> c.kind == kind);
        }

        long count(long from, long to, Predicate<Caller> which) {
            return fleet.callers.stream()
                    .filter(c -> c.at >= from && c.at < to && which.test(c))
                    .count();
        }

        /** Gets the share of sends that engines refused in a period. */
        double refused(long from, long to) {
            long sent = fleet.engines.sends.stream()
                    .filter(at -> at >= from && at < to)
                    .count();
            long refused = fleet.engines.refusals.stream()
                    .filter(at -> at >= from && at < to)
                    .count();
            return refused / (double) Math.max(1, sent);
        }
    }

    // Guards against targets that fill up with the least urgent requests, so that others are refused.
    @ParameterizedTest
    @ValueSource(ints = {4, 33, 71, 370})
    void servesNoKindLessOftenThanALessUrgentOne(int daemons) {
        assertOrderKept(Day.of(daemons));
    }

    private static void assertOrderKept(Day day) {
        for (long from = day.start(); from < day.end() + 20 * SECOND; from += SECOND / 4) {
            for (int kind = 0; kind < AdmissionFleet.KINDS; kind++) {
                for (int less = kind + 1; less < AdmissionFleet.KINDS; less++) {
                    assertWithMessage("kinds %s and %s from %s", kind, less, from)
                            .that(day.servedKind(less, from, from + 5 * SECOND)
                                    - day.servedKind(kind, from, from + 5 * SECOND))
                            .isAtMost(0.05);
                }
            }
        }
    }

    // Guards against requests that are sent although there is no capacity, which use up retries and callers' time.
    @ParameterizedTest
    @ValueSource(ints = {4, 33, 71})
    void sendsLittleThatTargetsRefuse(int daemons) {
        assertFewRefusals(Day.of(daemons));
    }

    @Test
    void sendsLittleThatTargetsRefuseWith370Daemons() {
        assertFewRefusals(Day.of(370));
    }

    private static void assertFewRefusals(Day day) {
        assertThat(day.refused(day.leastBurst() + LEARNING_MS, day.rest())).isAtMost(0.02);
        assertThat(day.refused(day.urgentBurst() + LEARNING_MS, day.end())).isAtMost(0.02);
    }

    // Guards against windows by which a daemon refuses urgent requests while others have room.
    @ParameterizedTest
    @ValueSource(ints = {4, 33, 71, 370})
    void servesTheUrgentKindAsOneQueueForAllDaemonsWould(int daemons) {
        Day day = Day.of(daemons);
        for (long[] burst : new long[][] {{day.leastBurst(), day.rest()}, {day.urgentBurst(), day.end()}}) {
            assertThat(day.servedKind(0, burst[0], burst[1]))
                    .isAtLeast(servedByOneQueue(day, burst[0], burst[1]) - 0.02);
        }
    }

    /** Computes the share of the urgent kind that one queue by urgency, for all slots of the engines, serves. */
    private static double servedByOneQueue(Day day, long from, long to) {
        PriorityQueue<Caller> queue = new PriorityQueue<>(
                Comparator.comparingInt((Caller c) -> c.kind).thenComparingLong(c -> c.at));
        PriorityQueue<Long> slots = new PriorityQueue<>();
        for (int i = 0; i < FakeEngines.COUNT * FakeEngines.RUNNING_EACH; i++) {
            slots.add(0L);
        }
        int next = 0;
        int served = 0;
        List<Caller> callers = day.fleet().callers;
        for (long now = day.start(); now < day.end() + 60 * SECOND; now++) {
            while (next < callers.size() && callers.get(next).at <= now) {
                queue.add(callers.get(next++));
            }
            while (!queue.isEmpty() && slots.element() <= now) {
                Caller first = queue.remove();
                if (now - first.at <= AdmissionFleet.PATIENCE_MS) {
                    slots.remove();
                    slots.add(now + FakeEngines.RUN_MS);
                    served += first.kind == 0 && first.at >= from && first.at < to ? 1 : 0;
                }
            }
        }
        return served / (double) day.count(from, to, c -> c.kind == 0);
    }

    // Guards against limits that hold requests back although targets have room.
    @ParameterizedTest
    @ValueSource(ints = {4, 33, 71, 370})
    void letsNoRequestWaitWhereCapacityIsNotShort(int daemons) {
        AdmissionFleet fleet = new AdmissionFleet(daemons, 2);
        fleet.run(30 * SECOND, USUAL, USUAL, USUAL);

        assertThat(fleet.count("waited")).isEqualTo(0);
        assertThat(fleet.count("refused")).isEqualTo(0);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33, 71, 370})
    void servesAllAgainAfterTheOverload(int daemons) {
        Day day = Day.of(daemons);
        assertThat(day.served(day.end() + 15 * SECOND, day.end() + 25 * SECOND, c -> true))
                .isAtLeast(0.99);
    }

    // Guards against a team that gets a third of what is short because it sends a third of all requests.
    @ParameterizedTest
    @ValueSource(ints = {33, 71})
    void givesTeamsEqualSharesOfWhatIsShort(int daemons) {
        assertFair(Day.of(daemons));
    }

    @Test
    void givesTeamsEqualSharesOfWhatIsShortWith370Daemons() {
        assertFair(Day.of(370));
    }

    private static void assertFair(Day day) {
        long from = day.leastBurst() + LEARNING_MS;
        double equal = day.count(from, day.rest(), c -> c.kind == 2 && c.complete) / (double) AdmissionFleet.TEAMS;
        double others = 0;
        for (int team = 1; team < AdmissionFleet.TEAMS; team++) {
            int name = team;
            long served = day.count(from, day.rest(), c -> c.kind == 2 && c.complete && c.team == name);
            assertWithMessage("team %s", team).that(served / equal).isAtLeast(0.75);
            others += served / equal / (AdmissionFleet.TEAMS - 1);
        }
        assertThat(others).isAtLeast(0.9);
    }

    // Guards against a limit that stays after targets have refused by mistake.
    @ParameterizedTest
    @ValueSource(ints = {4, 71})
    void servesAllSoonAfterTargetsHaveRefusedFalsely(int daemons) {
        AdmissionFleet fleet = new AdmissionFleet(daemons, 3);
        fleet.run(5 * SECOND, USUAL, USUAL, USUAL);
        fleet.engines.refuseAllUntil = fleet.timers.nowMillis() + SECOND;
        fleet.run(11 * SECOND, USUAL, USUAL, USUAL);
        long from = fleet.timers.nowMillis();
        fleet.run(10 * SECOND, USUAL, USUAL, USUAL);
        fleet.run(5 * SECOND, 0, 0, 0);

        Day day = new Day(fleet, from, from, from, from, from + 10 * SECOND);
        assertThat(day.served(from, from + 10 * SECOND, c -> true)).isAtLeast(0.99);
    }

    // Guards against a daemon that starts without a limit and fills the targets again.
    @Test
    void keepsTheOrderWhenADaemonRestartsInTheOverload() {
        AdmissionFleet fleet = new AdmissionFleet(33, 1);
        Day day = Day.run(fleet, () -> fleet.start(0, 33));

        assertOrderKept(day);
        assertFewRefusals(day);
    }
}
