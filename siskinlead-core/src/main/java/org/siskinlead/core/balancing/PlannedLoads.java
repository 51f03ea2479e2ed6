package org.siskinlead.core.balancing;

import java.util.HashMap;
import java.util.Map;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.chains.TargetLoads;
import org.siskinlead.core.registry.TargetHealth;

/** Loads that a plan has placed on targets. Own requests and reservations count where they exceed these. */
final class PlannedLoads implements TargetLoads {
    private final Map<TargetHealth, Load> loads = new HashMap<>();

    private static final class Load {
        private double requests;
        private double requestsAsFirst;
        private double tokenLayers;
    }

    // Queries

    @Override
    public double concurrentRequests(TargetHealth target) {
        Load load = loads.get(target);
        return Math.max(load == null ? 0 : load.requests, target.inFlight());
    }

    @Override
    public double reservedTokenLayers(TargetHealth target) {
        Load load = loads.get(target);
        return Math.max(load == null ? 0 : load.tokenLayers, target.reservedTokenLayers());
    }

    @Override
    public boolean hasFreeSlot(TargetHealth target) {
        return freeSlots(target) >= 1;
    }

    double freeSlots(TargetHealth target) {
        return target.entry().slots() * target.capacityFraction()
                - Math.max(requestsAsFirst(target), target.inFlight());
    }

    /** Gets the requests placed on paths that start at a target. */
    double requestsAsFirst(TargetHealth target) {
        Load load = loads.get(target);
        return load == null ? 0 : load.requestsAsFirst;
    }

    // Commands

    void place(HopPath path, double requests, double tokens) {
        for (Hop hop : path.hops()) {
            Load load = loads.computeIfAbsent(hop.target(), t -> new Load());
            load.requests += requests;
            load.tokenLayers += requests * tokens * hop.layerCount();
        }
        loads.computeIfAbsent(path.first().target(), t -> new Load()).requestsAsFirst += requests;
    }
}
