package org.siskinlead.core.registry;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.routing.LayerRange;

/**
 * What a model engine says of itself when it is asked.
 * @param layers layers that it holds, or null when it holds none
 * @param busy whether it carries out an order
 * @param acceptedOrders orders that it has accepted since its start
 * @param running requests that run
 * @param waiting requests that wait
 * @param slowdown time of its work relative to the usual; above 1 it is slow
 */
public record EngineState(
        @Nullable LayerRange layers, boolean busy, long acceptedOrders, int running, int waiting, double slowdown) {}
