package org.siskinlead.core.registry;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.routing.LayerRange;

/**
 * A target as it last registered itself.
 * @param id its identity, which other targets do not take over while it is registered
 * @param startedAtMillis its start, in milliseconds since the Unix epoch; tells two lives under one identity apart
 * @param service service that it offers
 * @param address IP number and port
 * @param dataCentre data centre it is in
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param accelerator name of its kind of accelerator, empty for plain services
 * @param layers layers that it holds, or null when it holds none
 */
public record RegisteredTarget(
        String id,
        long startedAtMillis,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean leaving,
        String accelerator,
        @Nullable LayerRange layers) {
    /**
     * Names this life of the target.
     * @return identity and start
     */
    public String instanceId() {
        return id + "@" + startedAtMillis;
    }

    /**
     * Copies this target as holding other layers.
     * @param range layers that it holds
     * @return the copy
     */
    public RegisteredTarget withLayers(@Nullable LayerRange range) {
        return new RegisteredTarget(
                id, startedAtMillis, service, address, dataCentre, slots, leaving, accelerator, range);
    }
}
