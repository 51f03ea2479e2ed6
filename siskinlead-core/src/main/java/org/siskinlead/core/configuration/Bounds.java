package org.siskinlead.core.configuration;

/**
 * Range of values that a template allows for a parameter, both ends included.
 * @param min smallest allowed value
 * @param max largest allowed value
 */
public record Bounds(long min, long max) {
    /**
     * Tells whether a value lies within the range.
     * @param value value in the unit of the parameter
     * @return true when it is allowed
     */
    public boolean allows(long value) {
        return min <= value && value <= max;
    }
}
