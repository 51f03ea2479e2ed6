package org.siskinlead.core.placement;

import java.util.function.Consumer;

/** Sends orders to load layers to model engines. */
public interface OrderSender {
    /** Answer of an engine to an order. */
    enum Answer {
        /** The engine executes the order. */
        TAKEN,
        /** The engine has seen a higher fencing token, or cannot execute the order. */
        REFUSED,
        /** No answer was received; the engine may execute the order. */
        LOST
    }

    /**
     * Sends an order to its target.
     * @param order order to send
     * @param onAnswer called once with the answer
     */
    void send(Order order, Consumer<Answer> onAnswer);
}
