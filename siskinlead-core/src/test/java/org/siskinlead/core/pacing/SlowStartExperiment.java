package org.siskinlead.core.pacing;

import java.util.Locale;
import org.siskinlead.core.fakes.Fleets;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.WarmingFleet;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.routing.LayerRange;

/** Prints what a cold target gets and how many requests are lost meanwhile, with and without pacing. */
public final class SlowStartExperiment {
    private static long WARM_UP_MS = 3_000;

    private SlowStartExperiment() {}

    public static void main(String[] args) {
        double rate = Double.parseDouble(args[0]);
        WARM_UP_MS = Long.parseLong(args[1]);
        for (String form : new String[] {"single", "refusing", "path"}) {
            for (int daemons : new int[] {4, 33, 71, 370}) {
                for (int mode = 0; mode < 3; mode++) {
                    System.out.println(measure(form, daemons, mode == 2, mode == 0 ? 1 : 5, rate));
                }
            }
        }
    }

    private static String measure(String form, int daemons, boolean paced, double cold, double rate) {
        WarmingFleet fleet = new WarmingFleet(daemons, paced, 7);
        WarmingFleet.Machine target;
        fleet.rate = rate;
        if (form.equals("path")) {
            fleet.path = "/stream/x";
            for (int i = 0; i < 3; i++) {
                fleet.start(Fleets.engine("low" + i, "east", "big", new LayerRange(0, 60)), 100);
                fleet.start(Fleets.engine("high" + i, "east", "h100", new LayerRange(60, 80)), 100);
            }
            fleet.run(10_000);
            target = fleet.start(Fleets.engine("cold", "east", "big", new LayerRange(60, 80)), 100);
        } else {
            for (int i = 0; i < 3; i++) {
                fleet.start(ForwardingTestBed.plain("p" + i), 90);
            }
            fleet.run(10_000);
            fleet.path = form.equals("refusing") ? "/safe/x" : "/unsafe/x";
            target = fleet.start(plain("p4"), 90);
            target.refuses = form.equals("refusing");
        }
        long t0 = fleet.timers.nowMillis();
        target.coldFactor = cold;
        target.warmUpMillis = WARM_UP_MS;
        fleet.run(2 * WARM_UP_MS + 4_000);
        StringBuilder sends = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            sends.append(' ').append(target.sendsBetween(t0 + i * 100, t0 + (i + 1) * 100));
        }
        StringBuilder rates = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            rates.append(String.format(Locale.ROOT, " %.0f", target.rateBetween(t0 + i * 1_000, t0 + (i + 1) * 1_000)));
        }
        return String.format(
                Locale.ROOT,
                "%s %d paced=%b cold=%.0f sends/100ms%s, rate/s%s, lost before %d after %d, %s",
                form,
                daemons,
                paced,
                cold,
                sends,
                rates,
                fleet.lostBetween(0, t0).size(),
                fleet.lostBetween(t0, t0 + 2 * WARM_UP_MS + 2_000).size(),
                fleet.daemons.get(0).registry().pacing().values());
    }

    private static RegisteredTarget plain(String id) {
        return ForwardingTestBed.plain(id);
    }
}
