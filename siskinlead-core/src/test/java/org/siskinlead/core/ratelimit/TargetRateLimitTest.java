package org.siskinlead.core.ratelimit;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.siskinlead.core.fakes.RateLimitFleet;

/** Tests that all daemons together keep the limits that targets name on the rate of their requests. */
class TargetRateLimitTest {
    private static final long CONTACT_MS = 3_000;
    private static final long WINDOW_MS = 4_000;

    /** Largest number of requests in a window by the users' rule. */
    private static double allowed(double perSecond) {
        return 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
    }

    // Guards against a target getting far more requests from all daemons together than the limit that it has named.
    @ParameterizedTest
    @CsvSource({"1, 5", "4, 5", "12, 5", "38, 5", "38, 0.5", "100, 5"})
    void keepsTheLimitOfATargetForAllDaemonsTogether(int daemons, double perSecond) {
        RateLimitFleet fleet = new RateLimitFleet(daemons, 6, daemons);
        fleet.rate = 120;
        fleet.run(3_000);
        fleet.limitAll(perSecond);
        long from = fleet.timers.nowMillis() + CONTACT_MS;
        fleet.run(CONTACT_MS + 12_000);

        for (int engine = 0; engine < 6; engine++) {
            assertWithMessage("requests to engine %s in 4 s", engine)
                    .that(fleet.mostArrivals(engine, WINDOW_MS, from))
                    .isAtMost((long) allowed(perSecond));
        }
    }
}
