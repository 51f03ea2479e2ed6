package org.siskinlead.core.placement;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.routing.LayerRange;

/**
 * Number of holders and KV cache capacity of each layer. The shortage is a convex function of the capacity: layers
 * without a holder weigh most and additional capacity counts less the more there is, so that reducing it balances the
 * layers.
 */
final class LayerCapacity {
    /** Capacity at which the shortage of a layer is a quarter of that of a layer without a holder. */
    private static final double QUARTER_SHORTAGE_TOKENS = 25_000;

    private final EngineSpec spec;
    private final int[] holders;
    private final double[] capacityTokens;

    LayerCapacity(EngineSpec spec) {
        this.spec = spec;
        this.holders = new int[spec.layers()];
        this.capacityTokens = new double[spec.layers()];
    }

    // Queries

    int holders(int layer) {
        return holders[layer];
    }

    /** Computes the KV cache capacity of an engine for each layer of a range that it holds, in tokens. */
    double tokensPerLayer(EnginePlacement engine, LayerRange range) {
        int held = range.to() - range.from();
        return spec.tokenLayerCapacity(engine.kind(), held) / held;
    }

    /** Computes the sum of the shortage over all layers; that of a layer without a holder is 1. */
    double shortage() {
        double sum = 0;
        for (double tokens : capacityTokens) {
            sum += shortage(tokens);
        }
        return sum;
    }

    /** Computes by how much the shortage decreases if an engine additionally holds a range. */
    double shortageReduction(EnginePlacement engine, LayerRange range) {
        return shortageChange(range, tokensPerLayer(engine, range));
    }

    private double shortageChange(LayerRange range, double tokens) {
        double sum = 0;
        for (int layer = range.from(); layer < range.to(); layer++) {
            sum += shortage(capacityTokens[layer]) - shortage(capacityTokens[layer] + tokens);
        }
        return sum;
    }

    private static double shortage(double tokens) {
        double share = QUARTER_SHORTAGE_TOKENS / (Math.max(0, tokens) + QUARTER_SHORTAGE_TOKENS);
        return share * share;
    }

    // Commands

    void add(EnginePlacement engine, @Nullable LayerRange range) {
        adjust(engine, range, 1);
    }

    void remove(EnginePlacement engine, @Nullable LayerRange range) {
        adjust(engine, range, -1);
    }

    private void adjust(EnginePlacement engine, @Nullable LayerRange range, int sign) {
        if (range == null) {
            return;
        }
        double tokens = tokensPerLayer(engine, range);
        for (int layer = range.from(); layer < Math.min(range.to(), holders.length); layer++) {
            holders[layer] += sign;
            capacityTokens[layer] += sign * tokens;
        }
    }
}
