package org.siskinlead.core.placement;

import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.routing.Target;

/**
 * Orders an engine to hold other layers.
 * @param fencingToken number that grows with each holder; an engine that checks it refuses a lower one
 * @param target the engine as last reported
 * @param model model and version to load
 * @param layers layers to hold
 */
public record Order(long fencingToken, Target target, ModelVersion model, LayerRange layers) {}
