package org.siskinlead.core.placement;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.routing.LayerRange;

/**
 * Placement of layers on one engine, as input to the planner.
 * @param id identity of the engine
 * @param dataCentre data centre of the engine
 * @param kind accelerator kind
 * @param layers layers that it holds or was ordered to hold, or null for none
 * @param movable whether it can accept an order now
 * @param slow whether it is so slow that other engines should hold its layers too
 */
public record EnginePlacement(
        String id,
        String dataCentre,
        AcceleratorKind kind,
        @Nullable LayerRange layers,
        boolean movable,
        boolean slow) {
    /** Copies this placement with newly assigned layers; the copy is not movable, since its engine must load them. */
    EnginePlacement withLayers(LayerRange range) {
        return new EnginePlacement(id, dataCentre, kind, range, false, slow);
    }
}
