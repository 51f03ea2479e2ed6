package org.siskinlead.core.catalog;

/**
 * A kind of accelerator.
 * @param name its name
 * @param memoryMb memory for layers and requests, in megabytes
 * @param stepTimeFactor time of a token step relative to the reference accelerator
 * @param prefillTimeFactor time to read prompt tokens relative to the reference accelerator
 */
public record AcceleratorKind(String name, double memoryMb, double stepTimeFactor, double prefillTimeFactor) {}
