package org.siskinlead.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MaxFlowTest {
    @Test
    void isBoundedByTheRangeWithLeastCapacity() {
        MaxFlow flow = MaxFlow.of(List.of(target("a", 0, 12, 400), target("b", 12, 24, 100), target("c", 12, 24, 50)));

        assertThat(flow.tokensPerSecond()).isWithin(1e-6).of(150);
        assertThat(flow.flowThrough(0)).isWithin(1e-6).of(150);
    }

    @Test
    void sumsTheFlowOfPathsWithDifferentBoundaries() {
        MaxFlow flow = MaxFlow.of(List.of(
                target("whole", 0, 24, 30),
                target("first", 0, 12, 100),
                target("second", 12, 24, 60),
                target("third-a", 0, 8, 50),
                target("third-b", 8, 24, 20)));

        assertThat(flow.tokensPerSecond()).isWithin(1e-6).of(110);
    }

    @Test
    void isZeroWhenLayersAreMissing() {
        MaxFlow flow = MaxFlow.of(List.of(target("a", 0, 12, 400), target("b", 13, 24, 400)));

        assertThat(flow.tokensPerSecond()).isEqualTo(0.0);
    }

    static Target target(String id, int from, int to, double rate) {
        return new Target(
                id, 1, "127.0.0.1:1", "east", "standard", "m", "v1", new LayerRange(from, to), 24, rate, 0, false);
    }
}
