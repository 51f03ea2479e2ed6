package org.siskinlead.core.chains;

import java.util.List;

/**
 * Sequence of hops that runs every layer once and in order.
 * @param hops hops in order of their layers; the first one receives the request
 * @param cost cost for comparison with other paths, in milliseconds per token; lower is better
 */
public record HopPath(List<Hop> hops, double cost) {
    /**
     * Creates a path.
     * @throws IllegalArgumentException if the layers of the hops have a gap or an overlap
     */
    public HopPath {
        hops = List.copyOf(hops);
        int next = 0;
        for (Hop hop : hops) {
            if (hop.layers().from() != next) {
                throw new IllegalArgumentException("next hop does not start at layer " + next + " in path " + hops);
            }
            next = hop.layers().to();
        }
    }

    /**
     * Gets the hop that receives the request.
     * @return the first hop
     */
    public Hop first() {
        return hops.get(0);
    }

    /**
     * Counts the hops that are in another data centre than the one before.
     * @return number of crossings
     */
    public int dataCentreCrossings() {
        int crossings = 0;
        for (int i = 1; i < hops.size(); i++) {
            String before = hops.get(i - 1).target().entry().dataCentre();
            crossings += hops.get(i).target().entry().dataCentre().equals(before) ? 0 : 1;
        }
        return crossings;
    }

    /**
     * Checks whether an instance of a target is on the path.
     * @param instanceId identifier of the instance
     * @return true if one of the hops runs on it
     */
    public boolean containsInstance(String instanceId) {
        return hops.stream().anyMatch(h -> h.target().entry().instanceId().equals(instanceId));
    }

    /**
     * Reserves or releases KV cache memory on each target.
     * @param tokens expected number of tokens of the request; negative to release
     */
    public void reserve(double tokens) {
        hops.forEach(h -> h.target().reserve(tokens * h.layerCount()));
    }
}
