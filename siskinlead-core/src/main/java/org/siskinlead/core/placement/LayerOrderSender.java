package org.siskinlead.core.placement;

import java.util.function.Consumer;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.routing.LayerRange;

/** Sends registered engines orders to load layers; each order carries the number of orders accepted before. */
public interface LayerOrderSender {
    /**
     * Orders an engine to replace the layers that it holds.
     * @param target engine that receives the order
     * @param expectedOrderCount number of orders that the engine has accepted before; it refuses this order if it has
     *     accepted another one in the meantime
     * @param layers layers to hold
     * @param onAnswer called once with the answer, on the decision thread
     */
    void sendOrder(
            RegisteredTarget target, long expectedOrderCount, LayerRange layers, Consumer<OrderSender.Answer> onAnswer);
}
