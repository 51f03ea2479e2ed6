package org.siskinlead.core.chains;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.routing.LayerRange;

/**
 * Finds the best path through the layers. Paths within one data centre go first: activations of every token cross each
 * border of a path. Among data centres the one whose busiest target has most room is taken.
 */
public final class PathFinder {
    /** Longest path that engines accept, in hops. */
    static final int MAX_HOPS = 32;
    /** Cost of a hop beside its layers, in milliseconds a token. */
    private static final double HOP_COST_MS = 0.3;
    /** Cost of a border between data centres, in milliseconds a token. */
    private static final double CROSS_DATA_CENTRE_COST_MS = 40;
    /** Cost of a target whose memory is all taken, in milliseconds a token for the whole model. */
    private static final double FULL_MEMORY_COST_MS = 60;
    /** Cost of the busiest target of a path, when data centres are compared, in milliseconds a token. */
    private static final double BOTTLENECK_COST_MS = 80;
    /** Share of a target's memory up to which requests are admitted, by estimate. */
    private static final double MAX_MEMORY_SHARE = 1.2;

    private final EngineSpec spec;
    private final LoadScale scale;

    private PathFinder(EngineSpec spec, LoadScale scale) {
        this.spec = spec;
        this.scale = scale;
    }

    /**
     * Creates a finder.
     * @param spec what the engines hold
     * @param scale load of all daemons for each part of this one's
     * @return the finder
     */
    public static PathFinder of(EngineSpec spec, LoadScale scale) {
        return new PathFinder(spec, scale);
    }

    /** Whether the room on targets bounds the choice. */
    public enum MemoryCheck {
        /** Only targets with room for the request by estimate. */
        ENFORCED,
        /** Any target, as if all were empty. */
        SKIPPED
    }

    /**
     * Finds the best path.
     * @param targets targets that may be used
     * @param tokens tokens that the request is expected to hold
     * @param memoryCheck whether the request must fit
     * @return the path, empty when no layers follow each other from first to last
     */
    public Optional<HopPath> find(Collection<TargetHealth> targets, double tokens, MemoryCheck memoryCheck) {
        Map<String, List<TargetHealth>> byDataCentre = new TreeMap<>();
        for (TargetHealth target : targets) {
            if (target.entry().layers() != null) {
                byDataCentre
                        .computeIfAbsent(target.entry().dataCentre(), d -> new ArrayList<>())
                        .add(target);
            }
        }
        HopPath best = null;
        for (List<TargetHealth> group : byDataCentre.values()) {
            HopPath path = search(group, tokens, memoryCheck);
            if (path != null && (best == null || path.cost() < best.cost())) {
                best = path;
            }
        }
        if (best == null && byDataCentre.size() > 1) {
            List<TargetHealth> all = new ArrayList<>();
            byDataCentre.values().forEach(all::addAll);
            best = search(all, tokens, memoryCheck);
        }
        return Optional.ofNullable(best);
    }

    /** Best way to have run all layers below some layer, ending in a data centre. */
    private record PartialPath(
            @Nullable PartialPath previous, @Nullable Hop hop, String dataCentre, double cost, int hops) {}

    private @Nullable HopPath search(List<TargetHealth> group, double tokens, MemoryCheck memoryCheck) {
        List<Map<String, PartialPath>> bestByLayer = new ArrayList<>();
        for (int layer = 0; layer <= spec.layers(); layer++) {
            bestByLayer.add(new HashMap<>());
        }
        bestByLayer.get(0).put("", new PartialPath(null, null, "", 0, 0));
        for (int layer = 0; layer < spec.layers(); layer++) {
            for (PartialPath partial : bestByLayer.get(layer).values()) {
                for (TargetHealth target : group) {
                    extend(bestByLayer, partial, layer, target, group, tokens, memoryCheck);
                }
            }
        }
        PartialPath best = null;
        for (PartialPath partial : bestByLayer.get(spec.layers()).values()) {
            if (best == null || partial.cost() < best.cost()) {
                best = partial;
            }
        }
        return best == null ? null : toHopPath(best, tokens, memoryCheck);
    }

    private void extend(
            List<Map<String, PartialPath>> bestByLayer,
            PartialPath partial,
            int layer,
            TargetHealth target,
            List<TargetHealth> group,
            double tokens,
            MemoryCheck memoryCheck) {
        LayerRange held = target.entry().layers();
        if (held == null
                || held.from() > layer
                || held.to() <= layer
                || partial.hops() >= MAX_HOPS
                || contains(partial, target)) {
            return;
        }
        relax(bestByLayer, partial, target, layer, held.to(), tokens, memoryCheck);
        for (TargetHealth other : group) {
            LayerRange next = other.entry().layers();
            if (next != null && next.from() > layer && next.from() < held.to()) {
                relax(bestByLayer, partial, target, layer, next.from(), tokens, memoryCheck);
            }
        }
    }

    private void relax(
            List<Map<String, PartialPath>> bestByLayer,
            PartialPath partial,
            TargetHealth target,
            int from,
            int to,
            double tokens,
            MemoryCheck memoryCheck) {
        RegisteredTarget entry = target.entry();
        AcceleratorKind kind = spec.kinds().get(entry.accelerator());
        if (kind == null || to > spec.layers()) {
            return;
        }
        double share = (double) (to - from) / spec.layers();
        double load = memoryCheck == MemoryCheck.SKIPPED ? 0 : memoryShare(target, kind, tokens);
        if (load > MAX_MEMORY_SHARE) {
            return;
        }
        double crossingCost =
                partial.dataCentre().isEmpty() || partial.dataCentre().equals(entry.dataCentre())
                        ? 0
                        : CROSS_DATA_CENTRE_COST_MS;
        double cost = partial.cost()
                + HOP_COST_MS
                + crossingCost
                + share
                        * (spec.stepMillis() * kind.stepTimeFactor() * target.slowdown() * batchTimeFactor(target)
                                + FULL_MEMORY_COST_MS * load * load);
        PartialPath known = bestByLayer.get(to).get(entry.dataCentre());
        if (known == null || cost < known.cost()) {
            Hop hop = new Hop(target, new LayerRange(from, to));
            bestByLayer
                    .get(to)
                    .put(
                            entry.dataCentre(),
                            new PartialPath(partial, hop, entry.dataCentre(), cost, partial.hops() + 1));
        }
    }

    /** Steps grow with the requests that run beside each other. */
    private double batchTimeFactor(TargetHealth target) {
        double beside = target.inFlight() * scale.of(target.entry().dataCentre());
        return 1 + beside * spec.perSequenceMillis() / spec.stepMillis();
    }

    private double memoryShare(TargetHealth target, AcceleratorKind kind, double tokens) {
        LayerRange held = target.entry().layers();
        int layers = held == null ? 0 : held.to() - held.from();
        double capacity = spec.tokenLayerCapacity(kind, layers);
        double required = target.reservedTokenLayers() * scale.of(target.entry().dataCentre()) + tokens * layers;
        return capacity <= 0 ? Double.MAX_VALUE : required / capacity;
    }

    private static boolean contains(PartialPath partial, TargetHealth target) {
        for (PartialPath current = partial; current != null; current = current.previous()) {
            if (current.hop() != null && current.hop().target() == target) {
                return true;
            }
        }
        return false;
    }

    private HopPath toHopPath(PartialPath last, double tokens, MemoryCheck memoryCheck) {
        List<Hop> hops = new ArrayList<>();
        double busiest = 0;
        for (PartialPath partial = last; partial != null && partial.hop() != null; partial = partial.previous()) {
            Hop hop = partial.hop();
            hops.add(0, hop);
            AcceleratorKind kind = spec.kinds().get(hop.target().entry().accelerator());
            if (kind != null && memoryCheck == MemoryCheck.ENFORCED) {
                busiest = Math.max(busiest, memoryShare(hop.target(), kind, tokens));
            }
        }
        return new HopPath(hops, last.cost() + BOTTLENECK_COST_MS * busiest);
    }
}
