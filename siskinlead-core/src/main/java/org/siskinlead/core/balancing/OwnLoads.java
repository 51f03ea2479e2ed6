package org.siskinlead.core.balancing;

import org.siskinlead.core.chains.TargetLoads;
import org.siskinlead.core.registry.TargetHealth;

/** Loads of targets from the requests of this daemon alone: the least that each target has. */
public enum OwnLoads implements TargetLoads {
    /** The only instance, since the loads are in the targets. */
    INSTANCE;

    @Override
    public double concurrentRequests(TargetHealth target) {
        return target.inFlight();
    }

    @Override
    public double reservedTokenLayers(TargetHealth target) {
        return target.reservedTokenLayers();
    }
}
