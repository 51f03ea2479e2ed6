package org.siskinlead.core.placement;

import java.util.function.Consumer;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.routing.LayerRange;

/** Way to order engines to hold other layers. */
public interface LayerOrderSender {
    /**
     * Orders an engine to hold layers in place of those it holds.
     * @param target the engine
     * @param expectedOrderCount orders that the engine must have accepted so far; it refuses this one when it has accepted
     *     others meanwhile
     * @param layers layers to hold
     * @param onAnswer receives the answer once, on the decision thread
     */
    void sendOrder(
            RegisteredTarget target, long expectedOrderCount, LayerRange layers, Consumer<OrderSender.Answer> onAnswer);
}
