package org.siskinlead.core.placement;

import java.util.function.Consumer;

/** Sends orders to engines. */
public interface OrderSender {
    /** What an engine answered. */
    enum Answer {
        /** It carries the order out. */
        TAKEN,
        /** It has seen a higher fencing number, or cannot carry it out. */
        REFUSED,
        /** No answer; it may carry the order out. */
        LOST
    }

    /**
     * Sends an order.
     * @param order the order
     * @param onAnswer receives the answer once
     */
    void send(Order order, Consumer<Answer> onAnswer);
}
