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
 * Plans which engines hold which layers. Each data centre with enough memory holds every layer, so that activations
 * stay within it; the other data centres are planned together as one group. Remaining engines hold additional copies
 * of the layers with the least capacity. An engine keeps the layers that it holds, except to fill a gap or to balance
 * capacity. It releases layers of which it is the only holder only if a gap cannot be filled otherwise.
 */
public final class LayerPlanner {
    /**
     * Maximum useful KV cache capacity of each layer, as a share of what the request slots of an engine can use. Above
     * it, an additional chain through the same engines is of more use: it reduces the time per token and tolerates the
     * loss of an engine.
     */
    static final double MAX_CAPACITY_SLOT_SHARE = 0.8;
    /** Minimum capacity at which a plan holds as many layers a second time as the largest engine holds. */
    static final double MIN_REDUNDANCY_CAPACITY_TOKENS = 30_000;
    /** Minimum capacity of a layer for a data centre to hold every layer by itself. */
    static final double MIN_CAPACITY_TOKENS = 6_000;

    private static final double CAPACITY_SEARCH_FACTOR = 0.95;

    private final EngineSpec spec;

    private LayerPlanner(EngineSpec spec) {
        this.spec = spec;
    }

    /**
     * Creates a planner.
     * @param spec parameters of the engines
     * @return a planner for these engines
     */
    public static LayerPlanner of(EngineSpec spec) {
        return new LayerPlanner(spec);
    }

    /**
     * Plans the placement of layers.
     * @param engines engines of the service that remain in service
     * @return new layers of each engine that must change, by identity; empty if the placement is to stay
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
     * Searches for the highest capacity, in tokens, at which a group can hold every layer and as many a second time as
     * its largest engine holds, so that redundant engines can replace any engine that is lost. Returns 0 if the group
     * cannot hold every layer.
     */
    private double maxCapacityTokens(List<EnginePlacement> group) {
        double maxTokens = MAX_CAPACITY_SLOT_SHARE * spec.slots() * (spec.meanPromptTokens() + spec.meanAnswerTokens());
        for (double tokens = Math.max(MIN_CAPACITY_TOKENS, maxTokens);
                tokens >= MIN_CAPACITY_TOKENS;
                tokens *= CAPACITY_SEARCH_FACTOR) {
            int layers = 0;
            int largest = 0;
            for (EnginePlacement engine : group) {
                int engineLayers = spec.maxLayersFor(engine.kind(), tokens);
                layers += engineLayers;
                largest = Math.max(largest, engineLayers);
            }
            int redundant = tokens >= MIN_REDUNDANCY_CAPACITY_TOKENS ? largest : 0;
            if (layers >= spec.layers() + redundant) {
                return tokens;
            }
        }
        return 0;
    }
}
