package org.siskinlead.core.routing;

/**
 * State of a model engine as last reported.
 * @param id name of its VM
 * @param incarnation number that differs at each start of the engine
 * @param address IP address and port
 * @param dataCentre data centre of its VM
 * @param kind accelerator kind
 * @param model name of the model whose layers it holds
 * @param version version of the model
 * @param layers layers that it holds
 * @param totalLayers number of layers of the whole model
 * @param tokensPerSecond throughput that it can sustain
 * @param running number of steps running or queued
 * @param leaving whether it accepts no new work because it is about to stop
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
     * Gets the model and version that the target serves.
     * @return model and version
     */
    public ModelVersion modelVersion() {
        return new ModelVersion(model, version);
    }

    /**
     * Builds an identifier that differs at each start of the engine.
     * @return VM name and incarnation in hexadecimal, separated by a slash
     */
    public String instanceId() {
        return id + "/" + Long.toHexString(incarnation);
    }

    /**
     * Copies this target with other layers.
     * @param other model and version of the layers
     * @param range layers that the copy holds
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
