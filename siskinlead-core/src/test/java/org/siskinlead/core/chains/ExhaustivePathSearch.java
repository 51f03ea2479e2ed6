package org.siskinlead.core.chains;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.routing.LayerRange;

/** Search that tries every hop that any target allows, without the shortcuts of {@link PathFinder}; for comparison. */
final class ExhaustivePathSearch {
    private static final double HOP_COST_MS = 0.3;
    private static final double CROSS_DATA_CENTRE_COST_MS = 40;
    private static final double FULL_MEMORY_COST_MS = 60;
    private static final double MAX_MEMORY_SHARE = 1.2;

    private final EngineSpec spec;
    private final LoadScale scale;

    ExhaustivePathSearch(EngineSpec spec, LoadScale scale) {
        this.spec = spec;
        this.scale = scale;
    }

    /** Path with the lowest cost that runs all layers below some layer and ends in a data centre. */
    private record PartialPath(
            @Nullable PartialPath previous, @Nullable Hop hop, String dataCentre, double cost, int hops) {}

    /** Finds the lowest cost of a path through a group of targets; infinite without one. */
    double leastCost(Collection<TargetHealth> targets, double tokens, MemoryCheck memoryCheck) {
        return search(new ArrayList<>(targets), tokens, memoryCheck);
    }

    private double search(List<TargetHealth> group, double tokens, MemoryCheck memoryCheck) {
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
        return best == null ? Double.POSITIVE_INFINITY : best.cost();
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
                || partial.hops() >= PathFinder.MAX_HOPS
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
}
