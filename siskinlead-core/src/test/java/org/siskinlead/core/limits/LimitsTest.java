package org.siskinlead.core.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.fakes.TestHost;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Ownership;

class LimitsTest {
    private static final int LONG_ANSWER_TOKENS = 2_000;

    @Test
    void allotsTheWholeLimitToTheOnlyDaemonWithDemand() {
        TestBed bed = TestBed.start(1, 4, 40, 10_000);

        startMany(bed, 2, 60);
        bed.time.runUntil(bed.time.now() + 1_500);

        assertThat(bed.host(2).node().limits().usedSlots(TestBed.TEAM)).isAtLeast(38);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void movesTheLimitToTheDaemonWithDemand() {
        TestBed bed = TestBed.start(2, 4, 20, 10_000);
        for (int i = 0; i < 20; i++) {
            bed.checker.sendCompletion(bed.host(0), "first " + i, 20, 20_000);
        }
        bed.time.runUntil(bed.time.now() + 6_000);

        startMany(bed, 3, 30);
        bed.time.runUntil(bed.time.now() + 1_500);

        assertThat(bed.host(3).node().limits().usedSlots(TestBed.TEAM)).isAtLeast(19);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void neverExceedsTheLimitDuringAPartition() {
        TestBed bed = TestBed.start(3, 4, 10, 10_000);
        bed.blockMessages("vm-0", "vm-1");
        bed.blockMessages("vm-1", "vm-0");
        bed.blockMessages("vm-2", "vm-1");

        for (int round = 0; round < 10; round++) {
            for (int host = 0; host < 4; host++) {
                bed.checker.sendCompletion(bed.host(host), "round " + round, 100, 10_000);
            }
            bed.time.runUntil(bed.time.now() + 1_000);
        }

        assertThat(bed.checker.violations()).isEmpty();
        assertThat(bed.checker.countWithOutcome("complete")).isAtLeast(10);
    }

    @Test
    void reallotsAKilledDaemonsSlotsAfterItsWorkHasEnded() {
        TestBed bed = TestBed.start(4, 4, 20, 10_000);
        startMany(bed, 0, 20);
        bed.time.runUntil(bed.time.now() + 1_000);

        bed.host(0).kill();
        bed.time.runUntil(bed.time.now() + 12_000);
        startMany(bed, 1, 30);
        bed.time.runUntil(bed.time.now() + 1_500);

        assertThat(bed.host(1).node().limits().usedSlots(TestBed.TEAM)).isAtLeast(19);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void appliesALoweredLimitWithinFourSeconds() {
        TestBed bed = TestBed.start(5, 4, 20, 10_000);
        for (int host = 0; host < 4; host++) {
            for (int i = 0; i < 40; i++) {
                bed.checker.sendCompletion(bed.host(host), "host " + host + " " + i, 60, 60_000);
            }
        }
        bed.time.runUntil(bed.time.now() + 500);

        bed.vote(bed.host(1), 6, 10_000);
        bed.time.runUntil(bed.time.now() + 15_000);

        assertThat(bed.checker.acceptedCount()).isEqualTo(3);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void admitsNothingUnderALoweredLimitUntilEnoughRequestsHaveEnded() {
        TestBed bed = TestBed.start(8, 4, 20, 10_000);
        for (int i = 0; i < 9; i++) {
            bed.checker.sendCompletion(bed.host(0), "long " + i, LONG_ANSWER_TOKENS, 7_500);
            bed.checker.sendCompletion(bed.host(1), "also long " + i, LONG_ANSWER_TOKENS, 7_500);
        }
        for (int i = 0; i < 2; i++) {
            bed.checker.sendCompletion(bed.host(2), "short " + i, 40, 7_500);
        }
        bed.time.runUntil(bed.time.now() + 500);

        bed.vote(bed.host(3), 10, 10_000);
        for (int i = 0; i < 200; i++) {
            int number = i;
            bed.time.after(100L * i, () -> bed.checker.sendCompletion(bed.host(2), "later " + number, 5, 3_000));
        }
        bed.time.runUntil(bed.time.now() + 20_000);

        assertThat(bed.checker.violations()).isEmpty();
    }

    /** Guards the holder's own part: the owner's reclaims do not reach it, since they go through the backup. */
    @Test
    void admitsNothingUnderALoweredLimitThatTheOwnerCannotTellAHolderOf() {
        TestBed bed = TestBed.start(10, 4, 20, 10_000);
        Head head = bed.host(0).node().membership().head();
        String owner = Ownership.ownerOf(head, TestBed.TEAM).orElseThrow().vm();
        String backup = Ownership.backupOf(head, TestBed.TEAM).orElseThrow().vm();
        TestHost busy = hostNamed(bed, owner);
        TestHost holder = bed.hosts().stream()
                .filter(h -> !h.vm().equals(owner) && !h.vm().equals(backup))
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 10; i++) {
            bed.checker.sendCompletion(busy, "long " + i, LONG_ANSWER_TOKENS, 7_500);
            bed.checker.sendCompletion(holder, "short " + i, 40, 7_500);
        }
        bed.time.runUntil(bed.time.now() + 500);
        long revision = holder.node().configuration().revision();

        bed.vote(busy, 10, 10_000);
        while (holder.node().configuration().revision() == revision) {
            bed.time.runUntil(bed.time.now() + 1);
        }
        bed.blockMessages(backup, holder.vm());
        for (int i = 0; i < 70; i++) {
            int number = i;
            bed.time.after(100L * i, () -> bed.checker.sendCompletion(holder, "later " + number, 5, 3_000));
        }
        bed.time.runUntil(bed.time.now() + 9_000);

        assertThat(bed.checker.violations()).isEmpty();
    }

    private static TestHost hostNamed(TestBed bed, String vm) {
        return bed.hosts().stream().filter(h -> h.vm().equals(vm)).findFirst().orElseThrow();
    }

    @Test
    void usesTheWholeOfALoweredLimitOnceItIsFree() {
        TestBed bed = TestBed.start(9, 4, 20, 10_000);
        for (int i = 0; i < 20; i++) {
            bed.checker.sendCompletion(bed.host(0), "short " + i, 40, 60_000);
        }
        bed.time.runUntil(bed.time.now() + 500);

        bed.vote(bed.host(3), 6, 10_000);
        bed.time.runUntil(bed.time.now() + 8_000);
        startMany(bed, 2, 12);
        bed.time.runUntil(bed.time.now() + 1_500);

        assertThat(bed.host(2).node().limits().usedSlots(TestBed.TEAM)).isEqualTo(6);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void keepsToTheRateAndUsesNearlyAllOfIt() {
        TestBed bed = TestBed.start(6, 4, 1_000, 50);
        long start = bed.time.now();

        for (int i = 0; i < 2_000; i++) {
            int number = i;
            bed.time.after(
                    10L * i,
                    () -> bed.checker.sendCompletion(bed.host(number % 10 == 0 ? 1 : 2), "call " + number, 1, 3_000));
        }
        bed.time.runUntil(start + 20_000);

        long admitted = bed.hosts().stream()
                .mapToLong(h -> h.node().serving().counters().admitted())
                .sum();
        assertThat(admitted).isAtMost(50 * 20 + 2 * 50);
        assertThat(admitted).isAtLeast(50 * 20 * 95 / 100);
    }

    private static void startMany(TestBed bed, int host, int requests) {
        for (int i = 0; i < requests; i++) {
            bed.checker.sendCompletion(bed.host(host), "request " + i, LONG_ANSWER_TOKENS, 60_000);
        }
    }
}
