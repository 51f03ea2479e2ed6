package org.siskinlead.core.chains;

import org.siskinlead.core.registry.TargetHealth;

/** Estimated loads of targets, from all daemons together, by which paths are compared. */
public interface TargetLoads {
    /**
     * Estimates the requests that run on a target.
     * @param target the target
     * @return number of concurrent requests
     */
    double concurrentRequests(TargetHealth target);

    /**
     * Estimates the KV cache memory that requests occupy on a target.
     * @param target the target
     * @return tokens times layers
     */
    double reservedTokenLayers(TargetHealth target);

    /**
     * Tells whether a target has a slot for one more request as the first of its path.
     * @param target the target
     * @return true by default, since the target refuses or queues what exceeds its slots
     */
    default boolean hasFreeSlot(TargetHealth target) {
        return true;
    }
}
