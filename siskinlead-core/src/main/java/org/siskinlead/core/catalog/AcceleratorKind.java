package org.siskinlead.core.catalog;

/**
 * Memory and speed of one kind of accelerator.
 * @param name name under which engines report it
 * @param memoryMb memory for layer weights and KV cache, in megabytes
 * @param stepTimeFactor duration of a decode step relative to the reference accelerator; above 1 is slower
 * @param prefillTimeFactor duration of prefill per token relative to the reference accelerator; above 1 is slower
 */
public record AcceleratorKind(String name, double memoryMb, double stepTimeFactor, double prefillTimeFactor) {}
