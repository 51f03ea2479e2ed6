package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The users' rule for targets that name a limit: from some time after the first answer that named it, they get no more
 * than 1.5 times what it allows and 5 requests in any 4 s, summed over the daemons that had passed on such an answer half
 * a second before or earlier; a lower limit is another one. A daemon that was restarted or cut off a short time before is excused.
 */
public final class RateLimitRule {
    private static final long CONTACT_MS = 3_000;
    private static final long WINDOW_MS = 4_000;
    private static final long TOLD_DELAY_MS = 500;
    private static final double FACTOR = 1.5;
    private static final double SLACK = 5;

    private final Map<String, List<Naming>> namings = new HashMap<>();
    private final Map<String, Long> toldAt = new HashMap<>();
    private final Map<String, Long> disturbedAt = new HashMap<>();
    private final Map<String, List<Long>> counted = new HashMap<>();

    /** A limit that a target names from a time on, infinite for none. */
    private record Naming(long from, double perSecond) {}

    /** Records that a target names another limit from now on. */
    void onLimit(String target, long now, double perSecond) {
        List<Naming> all = namings.computeIfAbsent(target, t -> new ArrayList<>());
        double before = all.isEmpty()
                ? Double.POSITIVE_INFINITY
                : all.get(all.size() - 1).perSecond();
        all.add(new Naming(now, perSecond));
        if (Double.isInfinite(perSecond) || perSecond < before) {
            toldAt.keySet().removeIf(key -> key.startsWith(target + " "));
        }
    }

    /** Records that a daemon has passed on an answer that named a limit. */
    void onTold(String target, String vm, long now) {
        toldAt.putIfAbsent(target + " " + vm, now);
    }

    /** Records that a daemon is cut off from now on, or no longer. */
    void onCut(String vm, boolean cut, long now) {
        disturbedAt.put(vm, cut ? Long.MAX_VALUE / 2 : now);
    }

    /** Records that a daemon was stopped or started. */
    void onDisturbed(String vm, long now) {
        disturbedAt.put(vm, now);
        toldAt.keySet().removeIf(key -> key.endsWith(" " + vm));
    }

    /** Records a request that has reached a target. */
    void onArrival(String target, String vm, long now) {
        boolean told = now - toldAt.getOrDefault(target + " " + vm, Long.MAX_VALUE / 2) >= TOLD_DELAY_MS;
        boolean excused = now - disturbedAt.getOrDefault(vm, Long.MIN_VALUE / 2) < CONTACT_MS;
        if (told && !excused) {
            counted.computeIfAbsent(target, t -> new ArrayList<>()).add(now);
        }
    }

    /** Lists the targets that got too much, with the window in which they got most. */
    public List<String> violations() {
        List<String> violations = new ArrayList<>();
        counted.forEach((target, arrivals) -> {
            for (int first = 0; first < arrivals.size(); first++) {
                long from = arrivals.get(first);
                double allowed = allowed(target, from);
                int last = first;
                while (last + 1 < arrivals.size() && arrivals.get(last + 1) <= from + WINDOW_MS) {
                    last++;
                }
                if (last - first + 1 > allowed) {
                    violations.add(target + " got " + (last - first + 1) + " requests from " + from + " ms, allowed "
                            + allowed);
                    return;
                }
            }
        });
        return violations;
    }

    /**
     * Computes what a window allows by the highest limit that the target named in it, since requests from before a change
     * are judged by the limit in force then; infinite if it did not name one all the while, and before.
     */
    private double allowed(String target, long from) {
        double highest = 0;
        List<Naming> all = namings.getOrDefault(target, List.of());
        for (int i = 0; i < all.size(); i++) {
            long begin = all.get(i).from();
            long end = i + 1 < all.size() ? all.get(i + 1).from() : Long.MAX_VALUE;
            boolean isInForce = !Double.isInfinite(all.get(i).perSecond());
            if (!isInForce && begin < from + WINDOW_MS && end > from - CONTACT_MS) {
                return Double.POSITIVE_INFINITY;
            }
            if (begin < from + WINDOW_MS && end > from) {
                highest = Math.max(highest, all.get(i).perSecond());
            }
        }
        boolean namedBefore = !all.isEmpty() && all.get(0).from() <= from - CONTACT_MS;
        return namedBefore ? SLACK + FACTOR * highest * WINDOW_MS / 1_000 : Double.POSITIVE_INFINITY;
    }
}
