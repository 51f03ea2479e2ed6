package org.siskinlead.core.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinlead.core.fakes.CrashingPartFleet;
import org.siskinlead.core.fakes.FakeLeaseStore;

/** Tests that a part of prompts that crashes its targets is found by all daemons together, and only that part. */
class CrashingPartTest {
    private static final long CONTACT_MS = 3_000;
    private static final int MAX_ARRIVALS = 3;
    private static final double MIN_SHARE_BEGUN = 0.5;

    // Guards against one target after the other being crashed by requests that have only a part of their prompts in
    // common.
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 12, 38})
    void sendsFewRequestsWithTheCrashingPartAfterTheFifthCrash(int daemons) {
        CrashingPartFleet fleet = new CrashingPartFleet(daemons, daemons);
        fleet.run(10_000);
        fleet.partRate = 3;
        fleet.run(60_000);

        assertWithMessage("crashes at %s", fleet.partCrashes)
                .that(fleet.arrivalsAfterFifthCrash(CONTACT_MS))
                .isAtMost(MAX_ARRIVALS);
    }

    // Guards against sound requests being refused for a part that they share with requests that crash targets.
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 12, 38})
    void servesSoundRequestsThatShareAnotherPart(int daemons) {
        CrashingPartFleet fleet = new CrashingPartFleet(daemons, 100 + daemons);
        fleet.run(1_000);
        fleet.partRate = 3;
        fleet.run(60_000);

        long end = fleet.timers.nowMillis();
        assertThat(fleet.partCrashes).isNotEmpty();
        long from = fleet.partCrashes.get(Math.min(4, fleet.partCrashes.size() - 1)) + 2 * CONTACT_MS;
        assertThat(fleet.shareBegun(CrashingPartFleet.SHARED_PART, from, end - 1_000))
                .isAtLeast(MIN_SHARE_BEGUN);
        assertThat(fleet.shareBegun("", from, end - 1_000)).isAtLeast(MIN_SHARE_BEGUN);
    }

    // Guards against the evidence being lost with the daemons that had seen the crashes.
    @Test
    void remembersTheCrashingPartWhenEveryDaemonRestarts() {
        CrashingPartFleet fleet = new CrashingPartFleet(4, 7);
        fleet.run(5_000);
        fleet.partRate = 3;
        fleet.run(10_000);
        for (int i = 0; i < 4; i++) {
            fleet.restart(i);
        }
        fleet.run(30_000);

        assertThat(fleet.arrivalsAfterFifthCrash(CONTACT_MS)).isAtMost(MAX_ARRIVALS);
    }

    // Guards against a part that crashes targets, but stands first in its prompts, or is common, or is one of several.
    @Test
    void findsACrashingPartWhereverItStandsAndHoweverManyThereAre() {
        List<List<List<String>>> prompts = List.of(
                List.of(List.of("bad")),
                List.of(List.of("bad", CrashingPartFleet.SHARED_PART)),
                List.of(List.of("p1", "p2", "bad", "p3")),
                List.of(List.of("p1", "bad"), List.of("p2", "bad"), List.of("p3", "p4", "bad")));
        for (int i = 0; i < prompts.size(); i++) {
            CrashingPartFleet fleet = new CrashingPartFleet(4, 40 + i);
            fleet.run(5_000);
            fleet.crashingPrompts = prompts.get(i);
            fleet.partRate = 3;
            fleet.run(30_000);

            assertWithMessage("crashes with %s: %s", prompts.get(i), fleet.partCrashes)
                    .that(fleet.arrivalsAfterFifthCrash(CONTACT_MS))
                    .isAtMost(MAX_ARRIVALS);
            assertThat(fleet.shareBegun("", fleet.timers.nowMillis() - 20_000, fleet.timers.nowMillis() - 1_000))
                    .isAtLeast(0.98);
        }
    }

    // Guards against trials of a blocked part that add up over time.
    @Test
    void triesABlockedPartAFewTimesInAll() {
        CrashingPartFleet fleet = new CrashingPartFleet(4, 50);
        fleet.soundRate = 10;
        fleet.run(5_000);
        fleet.partRate = 3;
        fleet.run(590_000);

        assertWithMessage("crashes at %s", fleet.partCrashes)
                .that(fleet.arrivalsAfterFifthCrash(CONTACT_MS))
                .isAtMost(MAX_ARRIVALS);
    }

    // Guards against evidence that is lost while the store is away, or with a daemon that restarts meanwhile.
    @Test
    void findsACrashingPartAfterAStoreOutage() {
        CrashingPartFleet fleet = new CrashingPartFleet(4, 60);
        fleet.run(5_000);
        fleet.store.mode = FakeLeaseStore.Mode.UNAVAILABLE;
        fleet.partRate = 1;
        fleet.run(4_000);
        fleet.restart(1);
        fleet.run(1_000);
        fleet.store.mode = FakeLeaseStore.Mode.WORKING;
        long returnedAt = fleet.timers.nowMillis();
        fleet.run(20_000);

        long late = fleet.partArrivals.stream()
                .filter(at -> at > returnedAt + CONTACT_MS)
                .count();
        assertWithMessage("crashes at %s, store back at %s", fleet.partCrashes, returnedAt)
                .that(late)
                .isAtMost(MAX_ARRIVALS);
    }

    // Guards against suspicion of sound parts after crashes that no request has caused.
    @Test
    void servesEveryPartAfterCrashesForOtherReasons() {
        CrashingPartFleet fleet = new CrashingPartFleet(4, 11);
        fleet.run(2_000);
        for (int i = 0; i < 12; i++) {
            fleet.crash("e" + i);
            fleet.run(i % 4 == 0 ? 2_000 : 50);
        }
        long from = fleet.timers.nowMillis();
        fleet.run(10_000);

        assertThat(fleet.shareBegun("", from, fleet.timers.nowMillis() - 1_000)).isAtLeast(0.98);
    }
}
