package org.siskinlead.protocol.engine;

/**
 * Load and state that an engine reports, with a lag.
 * @param id name of its VM
 * @param incarnation number that is different after each start
 * @param kind type of its accelerator
 * @param model model whose layers it holds
 * @param version version of the model
 * @param from first layer it holds
 * @param to layer after the last it holds
 * @param totalLayers number of layers of the model
 * @param tokensPerSecond capacity in tokens per second
 * @param running number of steps that run or are queued
 * @param leaving whether it accepts no new requests
 */
public record EngineReport(
        String id,
        long incarnation,
        String kind,
        String model,
        String version,
        int from,
        int to,
        int totalLayers,
        double tokensPerSecond,
        int running,
        boolean leaving) {}
