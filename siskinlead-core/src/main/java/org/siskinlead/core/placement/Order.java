package org.siskinlead.core.placement;

import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.routing.Target;

/**
 * Order to an engine to hold other layers.
 * @param fencingToken number that increases with each membership epoch; an engine that checks it refuses a lower one
 * @param target engine that receives the order, as last reported
 * @param model model and version to load
 * @param layers layers to hold
 */
public record Order(long fencingToken, Target target, ModelVersion model, LayerRange layers) {}
