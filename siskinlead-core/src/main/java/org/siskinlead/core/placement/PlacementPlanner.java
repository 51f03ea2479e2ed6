package org.siskinlead.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.routing.MaxFlow;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.routing.Target;

/**
 * Chooses the single move of an engine that increases throughput most. An engine serves no requests while it loads, so
 * a move is only permitted if every model keeps a minimum share of its throughput without that engine.
 */
final class PlacementPlanner {
    /** Share of its current throughput bound that each model must keep while an engine loads. */
    static final double MIN_THROUGHPUT_SHARE = 0.7;
    /** Minimum relative gain in throughput that justifies a load. */
    static final double MIN_GAIN_SHARE = 0.1;

    private PlacementPlanner() {}

    /** Move of an engine to other layers, with the gain in tokens per second. */
    record Move(Target target, ModelVersion model, LayerRange layers, double gain) {}

    static Optional<Move> findBestMove(List<Target> targets, Set<ModelVersion> requiredModels) {
        Move best = null;
        for (ModelVersion model : requiredModels) {
            double currentBound = throughputBound(targets, model);
            for (LayerRange layers : candidateRanges(targets, model)) {
                Move move = findBestMoveTo(targets, requiredModels, model, layers, currentBound);
                if (move != null && (best == null || move.gain() > best.gain())) {
                    best = move;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static @Nullable Move findBestMoveTo(
            List<Target> targets,
            Set<ModelVersion> requiredModels,
            ModelVersion model,
            LayerRange layers,
            double currentBound) {
        Move best = null;
        for (Target target : targets) {
            if (target.layers().equals(layers) && target.modelVersion().equals(model)) {
                continue;
            }
            List<Target> remaining = new ArrayList<>(targets);
            remaining.remove(target);
            if (!keepsMinThroughput(targets, remaining, requiredModels)) {
                continue;
            }
            remaining.add(target.withLayers(model, layers));
            double gain = throughputBound(remaining, model) - currentBound;
            if (gain > MIN_GAIN_SHARE * currentBound && gain > 0 && (best == null || gain > best.gain())) {
                best = new Move(target, model, layers, gain);
            }
        }
        return best;
    }

    private static boolean keepsMinThroughput(
            List<Target> before, List<Target> during, Set<ModelVersion> requiredModels) {
        return requiredModels.stream()
                .allMatch(m -> throughputBound(during, m) >= MIN_THROUGHPUT_SHARE * throughputBound(before, m));
    }

    /** Lists the ranges that engines of the model hold, and those between adjacent boundaries of these ranges. */
    private static Set<LayerRange> candidateRanges(List<Target> targets, ModelVersion model) {
        Set<LayerRange> ranges = new LinkedHashSet<>();
        TreeSet<Integer> boundaries = new TreeSet<>();
        for (Target target : targets) {
            if (target.model().equals(model.model())) {
                ranges.add(target.layers());
                boundaries.add(0);
                boundaries.add(target.layers().from());
                boundaries.add(target.layers().to());
                boundaries.add(target.totalLayers());
            }
        }
        int previous = -1;
        for (int boundary : boundaries) {
            if (previous >= 0) {
                ranges.add(new LayerRange(previous, boundary));
            }
            previous = boundary;
        }
        return ranges;
    }

    private static double throughputBound(List<Target> targets, ModelVersion model) {
        return MaxFlow.of(targets.stream()
                        .filter(t -> t.modelVersion().equals(model) && !t.leaving())
                        .toList())
                .tokensPerSecond();
    }
}
