package org.siskinlead.core.routing;

/**
 * Version of a model.
 * @param model name of the model
 * @param version version of the model
 */
public record ModelVersion(String model, String version) {}
