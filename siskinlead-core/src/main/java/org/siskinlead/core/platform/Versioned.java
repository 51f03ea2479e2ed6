package org.siskinlead.core.platform;

import org.jspecify.annotations.Nullable;

/**
 * A value read from the key-value service.
 * @param version version to expect in a compare-and-swap; 0 when the key does not exist
 * @param value the value, or null when the key does not exist
 * @param <T> type of the value
 */
public record Versioned<T>(long version, @Nullable T value) {}
