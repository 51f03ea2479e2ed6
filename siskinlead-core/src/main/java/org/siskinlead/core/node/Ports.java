package org.siskinlead.core.node;

import java.util.function.Supplier;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.placement.OrderSender;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.serving.Targets;
import org.siskinlead.core.time.Timers;

/**
 * Ways from a node to the world outside, so that any host can drive it.
 * @param timers time
 * @param store the platform's key-value service
 * @param peers way to other daemons
 * @param targets way to the targets
 * @param orders way to give engines orders
 * @param ids source of identifiers that never repeat
 */
public record Ports(
        Timers timers, KeyValueStore store, Peers peers, Targets targets, OrderSender orders, Supplier<String> ids) {}
