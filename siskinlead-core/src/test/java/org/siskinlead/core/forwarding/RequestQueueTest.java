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
        queue.add(waiter("faulty", 500, () -> {
            throw new IllegalStateException("a fault");
        }));
        queue.add(waiter("sound", 500, () -> true));

        assertThrows(IllegalStateException.class, () -> timers.advance(20));
        timers.advance(50);

        assertThat(ended).containsExactly("sound sent");
        assertThat(queue.length()).isEqualTo(0);
    }

    @Test
    void endsTheWaitOfARequestThatFindsNoRoom() {
        queue.add(waiter("late", 100, () -> false));

        timers.advance(90);
        assertThat(ended).isEmpty();
        timers.advance(30);

        assertThat(ended).containsExactly("late expired");
    }

    // Guards against callers that wait until their time is over although the queue before them is too long.
    @Test
    void endsTheWaitAtOnceOfARequestWhoseTurnCannotComeInTime() {
        for (int i = 0; i < 20; i++) {
            queue.add(waiter("first" + i, 10_000, () -> false));
        }
        timers.advance(100);
        RequestQueue.Waiter late = waiter("late", 1_000, () -> false);

        assertThat(queue.expectsSendInTime(late)).isTrue();
        assertThat(queue.lengthAhead(late)).isEqualTo(0);
        RequestQueue.Waiter last = waiter("last", 10_001, () -> false);
        assertThat(queue.lengthAhead(last)).isEqualTo(20);
        timers.advance(500);
        assertThat(queue.expectsSendInTime(last)).isFalse();
    }

    @Test
    void servesFirstWhoeverHasLeastTimeLeft() {
        boolean[] room = new boolean[1];
        queue.add(waiter("patient", 900, () -> room[0]));
        queue.add(waiter("hurried", 300, () -> room[0]));
        timers.advance(50);
        room[0] = true;
        timers.advance(20);

        assertThat(ended).containsExactly("hurried sent", "patient sent").inOrder();
    }

    // Guards against requests that stand behind others which only wait for the retry budget.
    @Test
    void servesARequestBehindManyThatAreHeldBack() {
        for (int i = 0; i < 10; i++) {
            queue.add(waiter("held" + i, 300, () -> false, true));
        }
        RequestQueue.Waiter free = waiter("free", 900, () -> true);

        assertThat(queue.lengthAhead(free)).isEqualTo(0);
        assertThat(queue.heldBackAhead(free)).isEqualTo(10);
        queue.add(free);
        timers.advance(10);
        assertThat(ended).containsExactly("free sent");
    }

    private RequestQueue.Waiter waiter(String name, long usefulMillis, BooleanSupplier send) {
        return waiter(name, usefulMillis, send, false);
    }

    private RequestQueue.Waiter waiter(String name, long usefulMillis, BooleanSupplier send, boolean heldBack) {
        long latestSendAt = timers.nowMillis() + usefulMillis;
        return new RequestQueue.Waiter() {
            @Override
            public int priority() {
                return 0;
            }

            @Override
            public long latestSendAt() {
                return latestSendAt;
            }

            @Override
            public boolean isHeldBack() {
                return heldBack;
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
