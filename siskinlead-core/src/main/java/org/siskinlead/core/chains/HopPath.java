package org.siskinlead.core.chains;

import java.util.List;

/**
 * Hops that run every layer once and in order.
 * @param hops the hops, the one that receives the request first
 * @param cost rank among paths, lower is better
 */
public record HopPath(List<Hop> hops, double cost) {
    /** Checks that the layers follow each other without a gap or an overlap. */
    public HopPath {
        hops = List.copyOf(hops);
        int next = 0;
        for (Hop hop : hops) {
            if (hop.layers().from() != next) {
                throw new IllegalArgumentException("layer " + next + " is not run by the next hop of " + hops);
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
     * Tells whether a target is on the path.
     * @param instanceId life of the target
     * @return true when one of the hops is that life
     */
    public boolean containsInstance(String instanceId) {
        return hops.stream().anyMatch(h -> h.target().entry().instanceId().equals(instanceId));
    }

    /**
     * Reserves memory on each target, or gives it back.
     * @param tokens tokens that the request is expected to hold; negative to give back
     */
    public void reserve(double tokens) {
        hops.forEach(h -> h.target().reserve(tokens * h.layerCount()));
    }
}
