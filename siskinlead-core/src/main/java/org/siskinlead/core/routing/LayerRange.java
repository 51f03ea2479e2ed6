package org.siskinlead.core.routing;

/**
 * Half-open range of consecutive layers of a model.
 * @param from index of the first layer, from 0
 * @param to index after the last layer
 */
public record LayerRange(int from, int to) {
    /**
     * Creates a range.
     * @throws IllegalArgumentException if {@code from} is negative or the range is empty
     */
    public LayerRange {
        if (from < 0 || to <= from) {
            throw new IllegalArgumentException(
                    "invalid layer range " + from + ".." + to + ": from must be at least 0 and below to");
        }
    }
}
