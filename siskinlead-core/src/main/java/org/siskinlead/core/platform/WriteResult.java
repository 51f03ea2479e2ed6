package org.siskinlead.core.platform;

/**
 * Result of a compare-and-swap.
 * @param outcome outcome of the write
 * @param version version of the key after the write; valid only when the outcome is {@code WRITTEN}
 */
public record WriteResult(WriteOutcome outcome, long version) {}
