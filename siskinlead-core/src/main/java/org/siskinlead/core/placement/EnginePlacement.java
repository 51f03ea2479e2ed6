package org.siskinlead.core.placement;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.routing.LayerRange;

/**
 * An engine as the plan of layers sees it.
 * @param id identity of the engine
 * @param dataCentre data centre it is in
 * @param kind kind of its accelerator
 * @param layers layers that it holds or was ordered to hold, or null when it holds none
 * @param movable whether it can take an order now
 * @param slow whether it works so slowly that others should hold its layers too
 */
public record EnginePlacement(
        String id,
        String dataCentre,
        AcceleratorKind kind,
        @Nullable LayerRange layers,
        boolean movable,
        boolean slow) {
    EnginePlacement withLayers(LayerRange range) {
        return new EnginePlacement(id, dataCentre, kind, range, false, slow);
    }
}
