package org.siskinlead.core.queue;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;

class WaitQueueTest {
    private final ManualTimers timers = new ManualTimers();
    private final WaitQueue queue = WaitQueue.of(timers, 3);
    private final List<String> events = new ArrayList<>();

    @Test
    void grantsTheHighestPriorityFirst() {
        add("low", 1);
        add("high", 5);

        grant(2);

        assertThat(events).containsExactly("granted high", "granted low").inOrder();
    }

    @Test
    void ranksLongWaitsAboveHigherPriority() {
        add("old", 1);
        timers.advance(2_000);
        add("new", 5);

        grant(1);

        assertThat(events).containsExactly("granted old");
    }

    @Test
    void shedsTheLowestWhenFull() {
        add("a", 5);
        add("b", 1);
        add("c", 5);
        add("d", 5);

        assertThat(events).containsExactly("shed b");
        assertThat(queue.size()).isEqualTo(3);
    }

    @Test
    void timesOutAfterTheMaximumWait() {
        add("a", 5);

        timers.advance(5_000);

        assertThat(events).containsExactly("timed out a");
    }

    private void grant(int count) {
        int[] left = {count};
        queue.grantWhile(() -> left[0]-- > 0);
    }

    private void add(String name, int priority) {
        queue.add(priority, 4_000, new WaitQueue.Callback() {
            @Override
            public void granted() {
                events.add("granted " + name);
            }

            @Override
            public void timedOut() {
                events.add("timed out " + name);
            }

            @Override
            public void shed() {
                events.add("shed " + name);
            }
        });
    }
}
