package org.siskinlead.core.registry;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.routing.LayerRange;

/**
 * State that a model engine returns when it is probed.
 * @param layers layers that it holds, or null if it holds none
 * @param busy whether it is executing an order
 * @param acceptedOrders number of orders that it has accepted since its start
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param slowdown duration of its work relative to the normal duration; above 1 it is slow
 */
public record EngineState(
        @Nullable LayerRange layers, boolean busy, long acceptedOrders, int running, int waiting, double slowdown) {}
