package org.siskinlead.core.routing;

/**
 * A model engine as last reported.
 * @param id name of its VM
 * @param incarnation number that differs at each start of the engine
 * @param address IP number and port
 * @param dataCentre data centre of its VM
 * @param kind kind of its accelerator
 * @param model model it holds layers of
 * @param version version of the model
 * @param layers layers it holds
 * @param totalLayers layers of the whole model
 * @param tokensPerSecond capacity
 * @param running steps it reported as running or queued
 * @param leaving whether it takes no new work
 */
public record Target(
        String id,
        long incarnation,
        String address,
        String dataCentre,
        String kind,
        String model,
        String version,
        LayerRange layers,
        int totalLayers,
        double tokensPerSecond,
        int running,
        boolean leaving) {
    /**
     * Names the model and version that the target serves.
     * @return model and version
     */
    public ModelVersion modelVersion() {
        return new ModelVersion(model, version);
    }

    /**
     * Gets the identity of this incarnation.
     * @return VM and incarnation in one string
     */
    public String instanceId() {
        return id + "/" + Long.toHexString(incarnation);
    }

    /**
     * Copies this target as holding other layers.
     * @param other model and version
     * @param range layers
     * @return the copy
     */
    public Target withLayers(ModelVersion other, LayerRange range) {
        return new Target(
                id,
                incarnation,
                address,
                dataCentre,
                kind,
                other.model(),
                other.version(),
                range,
                totalLayers,
                tokensPerSecond,
                running,
                leaving);
    }
}
