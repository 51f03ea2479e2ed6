package org.siskinlead.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.routing.LayerRange;

/**
 * Plans which engines hold which layers. Each data centre that has memory for it holds every layer, so that activations
 * stay inside; engines that are left double the layers with the fewest holders. What is held already stays, unless a
 * layer has no holder and the engine that moves is not the only holder of any of its own.
 */
public final class LayerPlanner {
    /**
     * Most room for tokens beside each layer that is of use, as a share of what an engine has slots for. Above that a
     * further chain through the same engines makes each token sooner and outlives the loss of an engine.
     */
    static final double MAX_CAPACITY_SLOT_SHARE = 0.8;
    /** Least room for tokens at which layers of the largest engine are held a second time. */
    static final double MIN_REDUNDANCY_CAPACITY_TOKENS = 30_000;
    /** Least room for tokens that a plan accepts to hold every layer in a data centre. */
    static final double MIN_CAPACITY_TOKENS = 6_000;

    private static final double CAPACITY_SEARCH_FACTOR = 0.95;

    private final EngineSpec spec;

    private LayerPlanner(EngineSpec spec) {
        this.spec = spec;
    }

    /**
     * Creates a planner.
     * @param spec what the engines hold
     * @return the planner
     */
    public static LayerPlanner of(EngineSpec spec) {
        return new LayerPlanner(spec);
    }

    /**
     * Plans.
     * @param engines all engines that stay
     * @return layers of each engine that must change, by identity
     */
    public Map<String, LayerRange> plan(Collection<EnginePlacement> engines) {
        Map<String, List<EnginePlacement>> groups = new TreeMap<>();
        engines.forEach(e ->
                groups.computeIfAbsent(e.dataCentre(), d -> new ArrayList<>()).add(e));
        List<EnginePlacement> pooled = new ArrayList<>();
        Map<String, LayerRange> moves = new HashMap<>();
        for (List<EnginePlacement> group : groups.values()) {
            double capacityTokens = maxCapacityTokens(group);
            if (capacityTokens < MIN_CAPACITY_TOKENS) {
                pooled.addAll(group);
            } else {
                moves.putAll(new LayerGroup(spec, group, capacityTokens).plan());
            }
        }
        if (!pooled.isEmpty()) {
            moves.putAll(new LayerGroup(spec, pooled, Math.max(MIN_CAPACITY_TOKENS, maxCapacityTokens(pooled))).plan());
        }
        return moves;
    }

    /**
     * Room for tokens with which a group can hold every layer, and as many twice as its largest engine holds, so that
     * the loss of any engine can be made good by one that is not needed elsewhere; 0 when it cannot hold every layer.
     */
    private double maxCapacityTokens(List<EnginePlacement> group) {
        double maxTokens = MAX_CAPACITY_SLOT_SHARE * spec.slots() * (spec.meanPromptTokens() + spec.meanAnswerTokens());
        for (double tokens = Math.max(MIN_CAPACITY_TOKENS, maxTokens);
                tokens >= MIN_CAPACITY_TOKENS;
                tokens *= CAPACITY_SEARCH_FACTOR) {
            int layers = 0;
            int largest = 0;
            for (EnginePlacement engine : group) {
                int taken = spec.maxLayersFor(engine.kind(), tokens);
                layers += taken;
                largest = Math.max(largest, taken);
            }
            int spare = tokens >= MIN_REDUNDANCY_CAPACITY_TOKENS ? largest : 0;
            if (layers >= spec.layers() + spare) {
                return tokens;
            }
        }
        return 0;
    }
}
