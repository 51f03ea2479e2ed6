package org.siskinlead.core.chains;

import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.routing.LayerRange;

/**
 * Layers that one target runs for a request.
 * @param target the target
 * @param layers layers that it runs, a part of those it holds
 */
public record Hop(TargetHealth target, LayerRange layers) {
    /**
     * Counts the layers.
     * @return number of layers
     */
    public int layerCount() {
        return layers.to() - layers.from();
    }
}
