package org.siskinlead.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;

/** Tests how many sends without an answer are remembered, and for how long. */
class UnansweredSendsTest {
    private final ManualTimers timers = new ManualTimers();
    private final UnansweredSends sends = UnansweredSends.of(timers);

    // Guards against memory that callers use up by leaving early.
    @Test
    void remembersABoundedNumber() {
        for (int instance = 0; instance < 200; instance++) {
            for (int i = 0; i < 1_000; i++) {
                add("t" + instance, instance + "-" + i, timers.nowMillis());
            }
        }
        int kept = 0;
        for (int instance = 0; instance < 200; instance++) {
            kept += sends.on("t" + instance).size();
        }

        assertThat(kept).isAtMost(UnansweredSends.MAX_SENDS);
        assertThat(sends.on("t199")).hasSize(UnansweredSends.MAX_SENDS_PER_INSTANCE);
    }

    // Guards against accusing what was sent before the last answer, and forgetting what was sent after it.
    @Test
    void forgetsWhatWasSentBeforeAnAnsweredRequest() {
        add("t", "before", 10);
        add("t", "after", 30);
        add("other", "elsewhere", 10);
        sends.onAnswered("t", 20);

        assertThat(sends.on("t").stream().map(Suspect::attempt)).containsExactly("after");
        assertThat(sends.on("other")).hasSize(1);
    }

    @Test
    void forgetsOldSends() {
        add("t", "old", timers.nowMillis());
        timers.advance(UnansweredSends.TTL_MS);

        assertThat(sends.on("t")).isEmpty();
        add("u", "new", timers.nowMillis());
        sends.onAnswered("u", timers.nowMillis());
        assertThat(sends.isEmpty()).isTrue();
    }

    private void add(String instanceId, String attempt, long sentAt) {
        sends.add(List.of(instanceId), new Suspect(attempt, Set.of(Suspect.request("f"))), sentAt);
    }
}
