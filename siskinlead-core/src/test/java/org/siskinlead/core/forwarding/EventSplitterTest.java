package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private static final String TEXT =
            "id: 1\ndata: a\n\nx-version: 3\nid: 2\ndata: b\ndata: c\n\n: ping\n\nid: 3\r\ndata: d\r\n\r\n";

    @Property(tries = 60)
    void findsTheSameEventsHoweverTheBytesAreCut(@ForAll @IntRange(min = 1, max = 40) int size) {
        EventSplitter splitter = new EventSplitter();
        List<EventSplitter.Event> events = new ArrayList<>();
        byte[] bytes = TEXT.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; from += size) {
            int to = Math.min(bytes.length, from + size);
            events.addAll(splitter.feed(java.util.Arrays.copyOfRange(bytes, from, to)));
        }

        assertThat(events.stream().map(EventSplitter.Event::id)).containsExactly(1L, 2L, EventSplitter.NO_ID, 3L);
        StringBuilder all = new StringBuilder();
        events.forEach(e -> all.append(new String(e.bytes(), StandardCharsets.UTF_8)));
        assertThat(all.toString()).isEqualTo(TEXT);
        assertThat(splitter.isInsideEvent()).isFalse();
    }

    @Test
    void buffersAnIncompleteEvent() {
        EventSplitter splitter = new EventSplitter();

        assertThat(splitter.feed("id: 1\ndata: a\n".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
        assertThat(splitter.isInsideEvent()).isTrue();
    }
}
