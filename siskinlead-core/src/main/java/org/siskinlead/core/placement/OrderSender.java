package org.siskinlead.core.placement;

import java.util.function.Consumer;

/** Sends model engines orders to load layers; each order carries a fencing token. */
public interface OrderSender {
    /** Answer of an engine to an order. */
    enum Answer {
        /** The engine executes the order. */
        TAKEN,
        /** The engine does not execute the order: it refused it as outdated or impossible, or was not reached. */
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
