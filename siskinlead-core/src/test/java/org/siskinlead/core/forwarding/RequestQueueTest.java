package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;

class RequestQueueTest {
    private final ManualTimers timers = new ManualTimers();
    private final RequestQueue queue = new RequestQueue(timers);
    private final List<String> ended = new ArrayList<>();

    @Test
    void servesTheOtherRequestsAfterOneThrows() {
        queue.add(
                waiter("faulty", () -> {
                    throw new IllegalStateException("a fault");
                }),
                500);
        queue.add(waiter("sound", () -> true), 500);

        assertThrows(IllegalStateException.class, () -> timers.advance(20));
        timers.advance(50);

        assertThat(ended).containsExactly("sound sent");
        assertThat(queue.length()).isEqualTo(0);
    }

    @Test
    void endsTheWaitOfARequestThatFindsNoRoom() {
        queue.add(waiter("late", () -> false), 100);

        timers.advance(90);
        assertThat(ended).isEmpty();
        timers.advance(30);

        assertThat(ended).containsExactly("late expired");
    }

    private RequestQueue.Waiter waiter(String name, BooleanSupplier send) {
        return new RequestQueue.Waiter() {
            @Override
            public int priority() {
                return 0;
            }

            @Override
            public boolean trySend() {
                boolean sent = send.getAsBoolean();
                if (sent) {
                    ended.add(name + " sent");
                }
                return sent;
            }

            @Override
            public void onExpired() {
                ended.add(name + " expired");
            }
        };
    }
}
