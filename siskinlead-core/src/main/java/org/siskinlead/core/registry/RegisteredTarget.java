package org.siskinlead.core.registry;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.routing.LayerRange;

/**
 * Entry of a target in the registry, as the target last wrote it.
 * @param id identity of the target; no other target uses it while it is registered
 * @param startedAtMillis start time, in milliseconds since the Unix epoch; distinguishes restarts under the same
 *     identity
 * @param service name of the service that it provides
 * @param address IP address and port
 * @param dataCentre data centre of the target
 * @param slots number of requests that it runs concurrently
 * @param leaving whether it accepts no new work because it is about to stop
 * @param accelerator name of its accelerator kind, empty for plain services
 * @param layers layers that it holds, or null if it holds none
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
     * Builds an identifier that differs after a restart of the target.
     * @return identity and start time, separated by an at sign
     */
    public String instanceId() {
        return id + "@" + startedAtMillis;
    }

    /**
     * Copies this entry with other layers.
     * @param range layers that the copy holds, or null for none
     * @return the copy
     */
    public RegisteredTarget withLayers(@Nullable LayerRange range) {
        return new RegisteredTarget(
                id, startedAtMillis, service, address, dataCentre, slots, leaving, accelerator, range);
    }
}
