package org.siskinlead.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ManualTimers;

class SendWindowTest {
    private static final long ANSWER_MS = 300;

    private final ManualTimers timers = new ManualTimers();
    private final List<String> events = new ArrayList<>();
    private final SendWindow window = SendWindow.of(timers, new Random(1), () -> false, new SendWindow.Listener() {
        @Override
        public void onCut(int level, double limit) {
            events.add("cut " + level);
        }

        @Override
        public void onRemoved() {
            events.add("removed");
        }
    });

    @Test
    void limitsNothingBeforeATargetRefuses() {
        send(0, 500);
        window.onAccepted(100, 20);

        assertThat(window.isLimiting()).isFalse();
    }

    @Test
    void holdsBackTheLeastUrgentLevelAndNeitherMoreUrgentOnesNorBegunAnswers() {
        fillAndRefuse();

        assertThat(window.allows(2)).isFalse();
        assertThat(window.allows(1)).isTrue();
        assertThat(window.allows(SendWindow.BEGUN)).isTrue();
        assertThat(events).containsExactly("cut 2");
    }

    // Guards against many refusals of the same shortage that each cut the window.
    @Test
    void cutsOnceInTheTimeOfAnAnswer() {
        fillAndRefuse();
        double cut = window.limit();
        window.onRefused(2, ANSWER_MS);
        assertThat(window.limit()).isEqualTo(cut);

        timers.advance(ANSWER_MS);
        window.onRefused(2, ANSWER_MS);
        assertThat(window.limit()).isLessThan(cut);
    }

    @Test
    void sendsMoreWhileRequestsWaitAndTargetsHaveNoQueuesAndLessOtherwise() {
        fillAndRefuse();
        double cut = window.limit();
        assertThat(window.allows(2)).isFalse();
        window.onAccepted(0, 20);
        double grown = window.limit();
        assertThat(grown).isGreaterThan(cut);

        window.onAccepted(10, 20);
        assertThat(window.limit()).isLessThan(grown);
    }

    @Test
    void removesTheLimitAfterATimeWithoutRefusals() {
        fillAndRefuse();
        for (int i = 0; i < 10; i++) {
            timers.advance(1_000);
            window.onAccepted(0, 20);
        }

        assertThat(window.allows(2)).isTrue();
        assertThat(window.isLimiting()).isFalse();
        assertThat(events).containsExactly("cut 2", "removed").inOrder();
    }

    private void fillAndRefuse() {
        send(1, 10);
        send(2, 20);
        timers.advance(10_000);
        window.onRefused(2, ANSWER_MS);
    }

    private void send(int level, int requests) {
        for (int i = 0; i < requests; i++) {
            assertThat(window.allows(level)).isTrue();
            window.onSent(level);
        }
    }
}
