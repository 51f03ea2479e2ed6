package org.siskinlead.core.node;

import java.util.function.Supplier;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.placement.OrderSender;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.serving.TargetTransport;
import org.siskinlead.core.time.Timers;

/**
 * Interfaces through which a node reaches its host, implemented by the daemon and by test fakes.
 * @param timers clock and timers of the decision thread
 * @param store the platform's key-value service
 * @param peers sends messages to other daemons
 * @param targets sends requests to targets
 * @param orders sends placement orders to engines
 * @param ids supplies identifiers that never repeat
 */
public record Ports(
        Timers timers,
        KeyValueStore store,
        Peers peers,
        TargetTransport targets,
        OrderSender orders,
        Supplier<String> ids) {}
