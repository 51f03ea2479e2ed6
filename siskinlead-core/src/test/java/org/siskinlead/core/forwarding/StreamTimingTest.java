package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;

class StreamTimingTest {
    private final ManualTimers timers = new ManualTimers();
    private final StreamTiming timing = new StreamTiming(timers, timers.nowMillis());

    // Guards against streams that are resumed too late for their callers, or given up while these would wait much
    // longer.
    @Test
    void takesAStreamForStuckWhileHalfOfTheCallersPatienceIsLeft() {
        for (long patience : new long[] {2_000, 4_000, 8_000}) {
            timing.onSent();
            timing.onEvents(1);
            timers.advance(patience / 2 - 10);
            assertThat(timing.isStuck(patience)).isFalse();
            timers.advance(20);

            assertThat(timing.isStuck(patience)).isTrue();
        }
    }
}
