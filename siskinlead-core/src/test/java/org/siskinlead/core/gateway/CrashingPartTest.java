package org.siskinlead.core.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinlead.core.fakes.CrashingPartFleet;

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
