package org.siskinlead.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.ForwardingTestBed;
import org.siskinlead.core.fakes.RecordedReply;

/** Tests that refused callers are told to return when there may be room, and while they can still wait. */
class RetryAfterTest {
    private final Random random = new Random(3);
    private final RetryAfter retryAfter = new RetryAfter(random);

    // Guards against callers that are told to come back after their time.
    @Test
    void staysWithinTheTimeThatCallersWait() {
        for (int i = 0; i < 10_000; i++) {
            long room = random.nextInt(30_000);
            long left = 1 + random.nextInt(30_000);

            assertThat(retryAfter.drawMillis(room, left)).isIn(range(1, left / 3 + 1));
        }
    }

    // Guards against callers that return before there is room although they can wait for it.
    @Test
    void isNotBeforeRoomIsExpected() {
        for (int i = 0; i < 10_000; i++) {
            long room = 10 + random.nextInt(5_000);

            assertThat(retryAfter.drawMillis(room, 3 * room + 3)).isAtLeast(room);
        }
    }

    // Guards against callers refused together that return at the same moment.
    @Test
    void spreadsTheCallersRefusedTogether() {
        Set<Long> drawn = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            drawn.add(retryAfter.drawMillis(2_000, 20_000));
        }

        assertThat(drawn.size()).isAtLeast(50);
    }

    // Guards against callers with little time that are told the same as those with much.
    @Test
    void tellsACallerWithLittleTimeToReturnWithinIt() {
        ForwardingTestBed bed = new ForwardingTestBed();
        for (String target : new String[] {"p0", "p1", "p2"}) {
            bed.registry.find(target).orElseThrow().avoid(5_000);
        }
        for (String path : new String[] {"/safe/x", "/unsafe/x"}) {
            RecordedReply reply = new RecordedReply();
            bed.forwarder.onRequest(bed.request(path, ForwardingTestBed.KEY, 600), reply);

            assertThat(reply.refusal.retryAfterMillis()).isIn(range(1, 200));
        }
    }

    private static com.google.common.collect.Range<Long> range(long min, long max) {
        return com.google.common.collect.Range.closed(min, max);
    }
}
