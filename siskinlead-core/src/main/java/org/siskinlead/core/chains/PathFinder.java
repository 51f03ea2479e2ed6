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
 * Finds the path through the layers with the lowest cost. A path within one data centre is used if there is one,
 * because the activations of every token pass each crossing. Among data centres, the one whose busiest target has most
 * free memory is preferred.
 */
public final class PathFinder {
    /** Maximum number of hops that engines accept. */
    static final int MAX_HOPS = 32;
    /** Fixed cost of a hop, per token. */
    private static final double HOP_COST_MS = 0.3;
    /** Cost of a crossing between data centres, per token. */
    private static final double CROSS_DATA_CENTRE_COST_MS = 40;
    /** Cost of a target whose memory is fully reserved, per token and for all layers of the model. */
    private static final double FULL_MEMORY_COST_MS = 60;
    /** Cost per token of a path whose busiest target is fully reserved, when data centres are compared. */
    private static final double BOTTLENECK_COST_MS = 80;
    /** Estimated share of the memory of a target up to which it is assigned requests. */
    private static final double MAX_MEMORY_SHARE = 1.2;

    private final EngineSpec spec;
    private final LoadScale scale;

    private PathFinder(EngineSpec spec, LoadScale scale) {
        this.spec = spec;
        this.scale = scale;
    }

    /**
     * Creates a path finder.
     * @param spec parameters of the engines
     * @param scale ratio of the load from all daemons to the load from this one
     * @return a path finder for these engines
     */
    public static PathFinder of(EngineSpec spec, LoadScale scale) {
        return new PathFinder(spec, scale);
    }

    /** Whether free memory limits the choice of targets. */
    public enum MemoryCheck {
        /** Uses only targets with enough estimated free memory for the request. */
        ENFORCED,
        /** Uses any target, as if all memory were free. */
        SKIPPED
    }

    /**
     * Finds the path with the lowest cost.
     * @param targets targets that may be used
     * @param tokens expected number of tokens of the request
     * @param memoryCheck whether the request must fit the free memory of the targets
     * @return the path, empty if the permitted targets do not cover all layers
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

    /** Path with the lowest cost that runs all layers below some layer and ends in a data centre. */
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
        // A hop may also end where the range of another target starts within this one.
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
        double layerShare = (double) (to - from) / spec.layers();
        double memoryShare = memoryCheck == MemoryCheck.SKIPPED ? 0 : memoryShare(target, kind, tokens);
        if (memoryShare > MAX_MEMORY_SHARE) {
            return;
        }
        double crossingCost =
                partial.dataCentre().isEmpty() || partial.dataCentre().equals(entry.dataCentre())
                        ? 0
                        : CROSS_DATA_CENTRE_COST_MS;
        double cost = partial.cost()
                + HOP_COST_MS
                + crossingCost
                + layerShare
                        * (spec.stepMillis() * kind.stepTimeFactor() * target.slowdown() * batchTimeFactor(target)
                                + FULL_MEMORY_COST_MS * memoryShare * memoryShare);
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

    /** Computes the factor by which concurrent requests lengthen a decode step. */
    private double batchTimeFactor(TargetHealth target) {
        double concurrent = target.inFlight() * scale.of(target.entry().dataCentre());
        return 1 + concurrent * spec.perSequenceMillis() / spec.stepMillis();
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
