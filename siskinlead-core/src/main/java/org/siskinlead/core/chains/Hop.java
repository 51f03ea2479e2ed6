package org.siskinlead.core.chains;

import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.routing.LayerRange;

/**
 * Layers that one target runs for a request.
 * @param target target that runs the layers
 * @param layers layers to run; all or part of those that the target holds
 */
public record Hop(TargetHealth target, LayerRange layers) {
    /**
     * Counts the layers of this hop.
     * @return number of layers
     */
    public int layerCount() {
        return layers.to() - layers.from();
    }
}
