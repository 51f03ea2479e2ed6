package org.siskinlead.core.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.membership.Head;

/** Counts the messages and store calls of idle daemons at several sizes; docs/CAPACITY.md lists the results. */
class ScaleTest {
    private static final int MEASURED_SECONDS = 20;

    @ParameterizedTest
    @MethodSource("sizes")
    void callsTheStoreNoMoreOftenWithMoreDaemons(int daemonCount) {
        TestBed bed = TestBed.startWithoutTemplate(1, daemonCount);
        long reads = bed.store.reads;
        long writes = bed.store.writes;
        bed.sentByType.clear();
        bed.sentBySender.clear();

        bed.time.runUntil(bed.time.now() + MEASURED_SECONDS * 1_000);

        long readsPerSecond = (bed.store.reads - reads) / MEASURED_SECONDS;
        System.out.printf(
                "daemons %d: store reads/s %d writes/s %d, messages/s %s, most by one daemon/s %d%n",
                daemonCount,
                readsPerSecond,
                (bed.store.writes - writes) / MEASURED_SECONDS,
                perSecond(bed.sentByType),
                bed.sentBySender.values().stream()
                                .mapToLong(Long::longValue)
                                .max()
                                .orElse(0)
                        / MEASURED_SECONDS);
        assertThat(readsPerSecond).isAtMost(Head.MAX_WITNESSES);
        assertThat(bed.store.writes).isEqualTo(writes);
    }

    /** Lists the numbers of daemons; {@code -Dlargest=100} adds one. */
    private static IntStream sizes() {
        return IntStream.of(4, 10, 20, 40, Integer.getInteger("largest", 40)).distinct();
    }

    private static Map<String, Long> perSecond(Map<String, Long> counts) {
        Map<String, Long> result = new TreeMap<>();
        counts.forEach((type, count) -> result.put(type, count / MEASURED_SECONDS));
        return result;
    }
}
