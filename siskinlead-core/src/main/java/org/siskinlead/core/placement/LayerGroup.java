package org.siskinlead.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.routing.LayerRange;

/**
 * Group of engines that together should hold every layer, with the moves planned for them. A gap is a range of layers
 * that no engine of the group holds.
 */
final class LayerGroup {
    /** Share of the planned capacity that an engine should keep when it loads additional layers. */
    private static final double MIN_CAPACITY_SHARE = 0.5;
    /** Cost of a move that leaves less than that capacity. */
    private static final double LOW_CAPACITY_COST_LAYERS = 12;
    /** Minimum size of the part offered to one engine when a gap is divided. */
    private static final int MIN_FILL_LAYERS = 4;
    /** Minimum decrease of the shortage that justifies a load; a layer without a holder has a shortage of 1. */
    private static final double MIN_REBALANCE_GAIN = 0.25;

    /** Minimum decrease of the shortage that justifies a load, as a share of the shortage. */
    private static final double MIN_REBALANCE_GAIN_SHARE = 0.08;
    /** Cost of releasing a layer that another engine also holds. */
    private static final double RELEASED_LAYER_COST_LAYERS = 0.3;

    private final EngineSpec spec;
    private final double capacityTokens;
    private final List<EnginePlacement> engines;
    private final LayerCapacity capacity;
    /**
     * Whether the group has slow engines, which are excluded from planning. Their layers remain in use, so the group is
     * neither replanned nor rebalanced because of them.
     */
    private final boolean hasSlowEngines;

    private final Map<String, LayerRange> moves = new HashMap<>();

    LayerGroup(EngineSpec spec, Collection<EnginePlacement> engines, double capacityTokens) {
        this.spec = spec;
        this.capacityTokens = capacityTokens;
        this.engines = new ArrayList<>(engines);
        this.engines.removeIf(EnginePlacement::slow);
        this.hasSlowEngines = this.engines.size() < engines.size();
        this.capacity = new LayerCapacity(spec);
        this.engines.forEach(e -> capacity.add(e, e.layers()));
    }

    /** Option to fill part of a gap; the cost is in layers. */
    private record GapFill(EnginePlacement engine, LayerRange layers, int filled, double cost) {}

    /**
     * Plans the layers of the group.
     * @return new layers of each engine that must change, by identity
     */
    Map<String, LayerRange> plan() {
        boolean more = true;
        while (more) {
            more = placeOneEmptyEngine() || fillOneGap();
        }
        if (firstGap() != null && !hasSlowEngines) {
            replanFromScratch();
        }
        boolean allMovable = engines.stream().allMatch(EnginePlacement::movable);
        if (allMovable && moves.isEmpty() && !hasSlowEngines) {
            rebalance();
        }
        return moves;
    }

    /**
     * Plans as if no engine held any layers, because the current placement leaves a gap that no single move can fill.
     * Engines of one kind are interchangeable, so each takes the new range that has most layers in common with its own.
     */
    private void replanFromScratch() {
        if (engines.stream().anyMatch(e -> !e.movable() && !moves.containsKey(e.id()))) {
            return;
        }
        List<EnginePlacement> empty = engines.stream()
                .map(e -> new EnginePlacement(e.id(), e.dataCentre(), e.kind(), null, true, false))
                .toList();
        LayerGroup fresh = new LayerGroup(spec, empty, capacityTokens);
        boolean more = true;
        while (more) {
            more = fresh.placeOneEmptyEngine();
        }
        if (fresh.countUncoveredLayers() >= countUncoveredLayers()) {
            return;
        }
        List<EnginePlacement> candidates = new ArrayList<>(fresh.engines);
        moves.clear();
        for (EnginePlacement engine : List.copyOf(engines)) {
            EnginePlacement closest = null;
            for (EnginePlacement candidate : candidates) {
                if (candidate.kind().equals(engine.kind())
                        && (closest == null || overlap(engine, candidate) > overlap(engine, closest))) {
                    closest = candidate;
                }
            }
            candidates.remove(closest);
            LayerRange range = closest == null ? null : closest.layers();
            if (range != null && !range.equals(engine.layers())) {
                assign(engine, range);
            }
        }
    }

    private int countUncoveredLayers() {
        int uncovered = 0;
        for (int layer = 0; layer < spec.layers(); layer++) {
            uncovered += capacity.holders(layer) == 0 ? 1 : 0;
        }
        return uncovered;
    }

    private static int overlap(EnginePlacement engine, EnginePlacement other) {
        LayerRange held = engine.layers();
        LayerRange range = other.layers();
        return held == null || range == null
                ? 0
                : Math.max(0, Math.min(held.to(), range.to()) - Math.max(held.from(), range.from()));
    }

    private boolean placeOneEmptyEngine() {
        List<EnginePlacement> empty = engines.stream()
                .filter(e -> e.layers() == null && e.movable() && maxLayers(e) > 0)
                .toList();
        if (empty.isEmpty()) {
            return false;
        }
        LayerRange gap = firstGap();
        if (gap == null) {
            EnginePlacement largest = largest(empty);
            assign(largest, bestRange(largest, maxLayers(largest), 0, spec.layers() - maxLayers(largest)));
        } else {
            EnginePlacement fitting = bestFit(empty, gap);
            assign(fitting, rangeCovering(fitting, gap, maxLayers(fitting)));
        }
        return true;
    }

    /**
     * Fills a gap at the lowest cost per layer. Fills only about half of it if there are several options at low cost,
     * so that two engines load concurrently.
     */
    private boolean fillOneGap() {
        LayerRange gap = firstGap();
        if (gap == null) {
            return false;
        }
        List<GapFill> fills = findGapFills(gap, length(gap));
        long lowCostFills =
                fills.stream().filter(f -> f.cost() < LOW_CAPACITY_COST_LAYERS).count();
        if (lowCostFills > 1 && length(gap) > 1) {
            fills = findGapFills(gap, Math.min(length(gap), Math.max((length(gap) + 1) / 2, MIN_FILL_LAYERS)));
        }
        GapFill best = null;
        for (GapFill fill : fills) {
            if (best == null || fill.cost() / fill.filled() < best.cost() / best.filled()) {
                best = fill;
            }
        }
        if (best == null) {
            return false;
        }
        assign(best.engine(), best.layers());
        return true;
    }

    private List<GapFill> findGapFills(LayerRange gap, int maxFilled) {
        List<GapFill> fills = new ArrayList<>();
        for (EnginePlacement engine : engines) {
            LayerRange held = engine.layers();
            if (held == null || !engine.movable()) {
                continue;
            }
            if (held.to() == gap.from()) {
                addExtension(fills, engine, held, gap, maxFilled, true);
            } else if (held.from() == gap.to()) {
                addExtension(fills, engine, held, gap, maxFilled, false);
            }
            if (isRedundant(held)) {
                int filled = Math.min(Math.max(1, maxLayers(engine)), maxFilled);
                LayerRange layers = new LayerRange(gap.from(), gap.from() + filled);
                fills.add(new GapFill(engine, layers, filled, filled + RELEASED_LAYER_COST_LAYERS * length(held)));
            }
        }
        return fills;
    }

    /**
     * Adds the option that an engine adjacent to a gap loads layers of it and releases redundant ones at its other end.
     */
    private void addExtension(
            List<GapFill> fills,
            EnginePlacement engine,
            LayerRange held,
            LayerRange gap,
            int maxFilled,
            boolean gapAbove) {
        int layerLimit = spec.maxLayersFor(engine.kind(), LayerPlanner.MIN_CAPACITY_TOKENS);
        int preferredLayers = spec.maxLayersFor(engine.kind(), MIN_CAPACITY_SHARE * capacityTokens);
        int redundant = redundantLayersAtEnd(held, gapAbove);
        int filled = Math.min(maxFilled, Math.min(length(gap), layerLimit - length(held) + redundant));
        if (filled <= 0) {
            return;
        }
        int released = Math.min(redundant, Math.max(0, length(held) + filled - preferredLayers));
        LayerRange layers = gapAbove
                ? new LayerRange(held.from() + released, held.to() + filled)
                : new LayerRange(held.from() - filled, held.to() - released);
        double lowCapacityCost = length(layers) > preferredLayers ? LOW_CAPACITY_COST_LAYERS : 0;
        fills.add(
                new GapFill(engine, layers, filled, filled + RELEASED_LAYER_COST_LAYERS * released + lowCapacityCost));
    }

    /** Counts consecutive layers at the end opposite to a gap that another engine also holds. */
    private int redundantLayersAtEnd(LayerRange held, boolean gapAbove) {
        int redundant = 0;
        while (redundant < length(held) - 1
                && capacity.holders(gapAbove ? held.from() + redundant : held.to() - 1 - redundant) > 1) {
            redundant++;
        }
        return redundant;
    }

    private boolean isRedundant(LayerRange held) {
        for (int layer = held.from(); layer < held.to(); layer++) {
            if (capacity.holders(layer) < 2) {
                return false;
            }
        }
        return true;
    }

    /** Chooses the smallest engine that can hold the whole gap, or the largest engine if none can. */
    private EnginePlacement bestFit(List<EnginePlacement> candidates, LayerRange gap) {
        return candidates.stream()
                .filter(e -> maxLayers(e) >= length(gap))
                .min(Comparator.comparingInt(this::maxLayers))
                .orElseGet(() -> largest(candidates));
    }

    private EnginePlacement largest(List<EnginePlacement> candidates) {
        EnginePlacement largest = candidates.get(0);
        for (EnginePlacement candidate : candidates) {
            if (maxLayers(candidate) > maxLayers(largest)) {
                largest = candidate;
            }
        }
        return largest;
    }

    private int maxLayers(EnginePlacement engine) {
        return spec.maxLayersFor(engine.kind(), capacityTokens);
    }

    /**
     * Chooses a range of a given size that covers as much of a gap as possible and otherwise reduces the shortage most.
     */
    private LayerRange rangeCovering(EnginePlacement engine, LayerRange gap, int size) {
        if (length(gap) >= size) {
            return new LayerRange(gap.from(), gap.from() + size);
        }
        int first = Math.max(0, gap.to() - size);
        int last = Math.min(gap.from(), spec.layers() - size);
        return bestRange(engine, size, Math.min(first, last), last);
    }

    private LayerRange bestRange(EnginePlacement engine, int size, int first, int last) {
        LayerRange best = new LayerRange(first, first + size);
        double bestGain = -1;
        for (int from = first; from <= last; from++) {
            LayerRange range = new LayerRange(from, from + size);
            double gain = capacity.shortageReduction(engine, range);
            if (gain > bestGain + 1e-9) {
                bestGain = gain;
                best = range;
            }
        }
        return best;
    }

    /** Moves the engine whose move reduces the shortage most, if another engine holds every layer that it releases. */
    private void rebalance() {
        double bestGain = Math.max(MIN_REBALANCE_GAIN, MIN_REBALANCE_GAIN_SHARE * capacity.shortage());

        EnginePlacement mover = null;
        LayerRange target = null;
        for (EnginePlacement engine : engines) {
            LayerRange held = engine.layers();
            if (held == null || !engine.movable()) {
                continue;
            }
            capacity.remove(engine, held);
            double currentGain = capacity.shortageReduction(engine, held);
            int largest = spec.maxLayersFor(engine.kind(), MIN_CAPACITY_SHARE * capacityTokens);
            for (int size = Math.max(1, largest / 2); size <= largest; size++) {
                LayerRange range = bestRange(engine, size, 0, spec.layers() - size);
                double gain = capacity.shortageReduction(engine, range) - currentGain;
                if (gain > bestGain && keepsCoverage(held, range)) {
                    bestGain = gain;
                    mover = engine;
                    target = range;
                }
            }
            capacity.add(engine, held);
        }
        if (mover != null && target != null) {
            assign(mover, target);
        }
    }

    /** Checks that every released layer has another holder. The engine must have been removed from the capacity. */
    private boolean keepsCoverage(LayerRange held, LayerRange range) {
        for (int layer = held.from(); layer < held.to(); layer++) {
            boolean kept = layer >= range.from() && layer < range.to();
            if (!kept && capacity.holders(layer) == 0) {
                return false;
            }
        }
        return true;
    }

    private @Nullable LayerRange firstGap() {
        for (int layer = 0; layer < spec.layers(); layer++) {
            if (capacity.holders(layer) == 0) {
                int end = layer;
                while (end < spec.layers() && capacity.holders(end) == 0) {
                    end++;
                }
                return new LayerRange(layer, end);
            }
        }
        return null;
    }

    private void assign(EnginePlacement engine, LayerRange range) {
        capacity.remove(engine, engine.layers());
        capacity.add(engine, range);
        engines.set(engines.indexOf(engine), engine.withLayers(range));
        moves.put(engine.id(), range);
    }

    private static int length(LayerRange range) {
        return range.to() - range.from();
    }
}
