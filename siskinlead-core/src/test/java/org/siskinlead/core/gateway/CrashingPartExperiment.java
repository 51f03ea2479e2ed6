package org.siskinlead.core.gateway;

import java.util.Locale;
import java.util.Random;
import org.siskinlead.core.fakes.CrashingPartFleet;
import org.siskinlead.core.serving.RefusalCode;

/**
 * Prints, by number of daemons, how many engines end before a part of prompts that crashes them is found, and what that
 * costs requests without the part. Arguments: seeds for each line, requests with the part per second.
 */
public final class CrashingPartExperiment {
    private static final int[] DAEMONS = {4, 12, 38};
    private static final long CONTACT_MS = 3_000;
    private static final long WARM_UP_MS = 10_000;
    private static final long RUN_MS = 60_000;
    private static final long OTHER_CRASH_INTERVAL_MS = 5_000;

    private CrashingPartExperiment() {}

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 10;
        double rate = args.length > 1 ? Double.parseDouble(args[1]) : 3;
        System.out.println(
                "daemons other-crashes engines-ended(mean max) late-arrivals(max) sound blocked share longest-ms");
        for (boolean otherCrashes : new boolean[] {false, true}) {
            for (int daemons : DAEMONS) {
                System.out.println(measure(daemons, otherCrashes, seeds, rate));
            }
        }
    }

    private static String measure(int daemons, boolean otherCrashes, int seeds, double rate) {
        int ended = 0;
        int mostEnded = 0;
        long mostArrivals = 0;
        long sound = 0;
        long blocked = 0;
        long longestMillis = 0;
        for (int seed = 0; seed < seeds; seed++) {
            CrashingPartFleet fleet = new CrashingPartFleet(daemons, 1_000L * daemons + seed);
            fleet.run(WARM_UP_MS);
            fleet.partRate = rate;
            Random random = new Random(seed);
            for (long at = 0; at < RUN_MS; at += OTHER_CRASH_INTERVAL_MS) {
                fleet.run(OTHER_CRASH_INTERVAL_MS);
                for (int i = 0; otherCrashes && i < 3; i++) {
                    fleet.crash("e" + random.nextInt(24));
                }
            }
            ended += fleet.partCrashes.size();
            mostEnded = Math.max(mostEnded, fleet.partCrashes.size());
            mostArrivals = Math.max(mostArrivals, fleet.arrivalsAfterFifthCrash(CONTACT_MS));
            sound += fleet.soundRequests.size();
            blocked += fleet.soundRequests.stream()
                    .filter(CrashingPartExperiment::isBlocked)
                    .count();
            longestMillis = Math.max(longestMillis, longestBlock(fleet));
        }
        return String.format(
                Locale.ROOT,
                "%d %s %.1f %d %d %d %d %.5f %d",
                daemons,
                otherCrashes ? "yes" : "no",
                ended / (double) seeds,
                mostEnded,
                mostArrivals,
                sound,
                blocked,
                blocked / (double) sound,
                longestMillis);
    }

    private static boolean isBlocked(CrashingPartFleet.SoundRequest request) {
        return request.reply.refusal != null && request.reply.refusal.code() == RefusalCode.PROMPT_PART_BLOCKED;
    }

    private static long longestBlock(CrashingPartFleet fleet) {
        return fleet.soundRequests.stream()
                .filter(CrashingPartExperiment::isBlocked)
                .collect(java.util.stream.Collectors.groupingBy(r -> r.part))
                .values()
                .stream()
                .mapToLong(all -> all.get(all.size() - 1).at - all.get(0).at)
                .max()
                .orElse(0);
    }
}
