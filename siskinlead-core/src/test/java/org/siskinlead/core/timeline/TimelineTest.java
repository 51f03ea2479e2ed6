package org.siskinlead.core.timeline;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class TimelineTest {
    private final Timeline timeline = Timeline.of("vm", HybridClock.of(() -> 0), event -> {});

    // Guards against ids of any length that callers choose and that are kept after their requests have ended.
    @Test
    void keepsAsManyCharactersAsItsCapacity() {
        for (int i = 0; i < Timeline.CAPACITY_EVENTS; i++) {
            timeline.record(EventKind.REQUEST_REFUSED, "request", "i".repeat(15_000));
        }

        List<TimelineEvent> kept = timeline.list(event -> true);
        long characters = kept.stream()
                .mapToLong(event -> event.fields().get("request").length())
                .sum();
        assertThat(characters).isAtMost(Timeline.CAPACITY_CHARACTERS);
        assertThat(timeline.dropped()).isEqualTo(Timeline.CAPACITY_EVENTS - kept.size());
    }

    // Guards against a log line as long as what a caller sends.
    @Test
    void cutsALongValue() {
        timeline.record(EventKind.REQUEST_REFUSED, "path", "p".repeat(5_000), "code", "NO_ROUTE");

        assertThat(timeline.list(event -> true).get(0).fields())
                .containsExactly("path", "p".repeat(4_096) + "...", "code", "NO_ROUTE");
    }

    @Test
    void keepsOrdinaryEventsUpToItsCapacity() {
        for (int i = 0; i <= Timeline.CAPACITY_EVENTS; i++) {
            timeline.record(EventKind.REQUEST_ENDED, "request", "9c41d07be2a35f68", "outcome", "answered");
        }

        assertThat(timeline.list(event -> true)).hasSize(Timeline.CAPACITY_EVENTS);
        assertThat(timeline.dropped()).isEqualTo(1);
    }
}
