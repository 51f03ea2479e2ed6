package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.routing.LayerRange;

/** Fleets of engines for tests: that of a user's site, and random ones. */
public final class Fleets {
    public static final String SERVICE = "engines";

    private static final List<AcceleratorKind> KINDS = List.of(
            new AcceleratorKind("h100", 72_000, 1.4, 1),
            new AcceleratorKind("a100s", 36_000, 3.1, 3.2),
            new AcceleratorKind("l4", 21_600, 16, 8.2),
            new AcceleratorKind("t4", 14_400, 15, 15),
            new AcceleratorKind("big", 200_000, 1, 1));

    private Fleets() {}

    /** Model that the site's engines serve, with 80 layers of 1,750 MB each. */
    public static EngineSpec engineSpec() {
        return new EngineSpec(
                "m",
                80,
                1_750,
                845_373,
                0.85,
                0.0055,
                0.0073,
                196_000,
                14,
                6,
                772,
                167,
                2,
                134,
                42_268,
                13_000,
                KINDS.stream().collect(java.util.stream.Collectors.toMap(AcceleratorKind::name, k -> k)));
    }

    public static AcceleratorKind kind(String name) {
        return KINDS.stream().filter(k -> k.name().equals(name)).findFirst().orElseThrow();
    }

    /** Accelerator kinds of the site's 39 engines in three data centres, by data centre. */
    public static Map<String, List<String>> siteFleet() {
        Map<String, List<String>> site = new TreeMap<>();
        site.put("a", kinds(0, 1, 8, 3));
        site.put("b", kinds(0, 2, 4, 7));
        site.put("c", kinds(1, 1, 5, 7));
        return site;
    }

    /** Accelerator kinds of a random fleet, by data centre; each one has memory for at least one complete model. */
    public static Map<String, List<String>> randomFleet(Random random, int size) {
        Map<String, List<String>> fleet = new TreeMap<>();
        int dataCentres = Math.max(1, Math.min(10, size / 12));
        for (int i = 0; i < dataCentres; i++) {
            List<String> kinds = new ArrayList<>();
            while (kinds.size() < size / dataCentres) {
                kinds.add(KINDS.get(random.nextInt(KINDS.size() - 1)).name());
            }
            fleet.put("dc" + i, kinds);
        }
        return fleet;
    }

    private static List<String> kinds(int h100, int a100s, int l4, int t4) {
        List<String> kinds = new ArrayList<>();
        kinds.addAll(java.util.Collections.nCopies(h100, "h100"));
        kinds.addAll(java.util.Collections.nCopies(a100s, "a100s"));
        kinds.addAll(java.util.Collections.nCopies(l4, "l4"));
        kinds.addAll(java.util.Collections.nCopies(t4, "t4"));
        return kinds;
    }

    public static RegisteredTarget engine(String id, String dataCentre, String kind, @Nullable LayerRange layers) {
        return new RegisteredTarget(id, 1, SERVICE, "10.0.0.1:" + port(id), dataCentre, 134, false, kind, layers);
    }

    private static int port(String id) {
        return 1_024 + Math.floorMod(id.hashCode(), 60_000);
    }
}
