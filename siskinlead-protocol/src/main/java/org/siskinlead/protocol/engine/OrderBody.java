package org.siskinlead.protocol.engine;

/**
 * Order to an engine to load other layers.
 * @param fencing fencing token; an engine that checks it rejects one below the highest that it has seen
 * @param model model to load
 * @param version version of the model
 * @param from first layer to hold
 * @param to layer after the last to hold
 */
public record OrderBody(long fencing, String model, String version, int from, int to) {}
