package org.siskinlead.core.timeline;

/**
 * Reading of a hybrid logical clock (Kulkarni et al., 2014).
 * @param wallMillis milliseconds since the Unix epoch
 * @param counter order among readings with the same wall time
 */
public record HybridTime(long wallMillis, int counter) implements Comparable<HybridTime> {
    @Override
    public int compareTo(HybridTime other) {
        int byWall = Long.compare(wallMillis, other.wallMillis);
        return byWall != 0 ? byWall : Integer.compare(counter, other.counter);
    }
}
