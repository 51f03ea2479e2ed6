package org.siskinlead.core.membership;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.fakes.TestHost;

class MembershipTest {
    @Test
    void becomesInactiveWithoutAMajorityAndActiveAgainWithOne() {
        TestBed bed = TestBed.start(1, 4, 10, 100);
        for (int other = 1; other < 4; other++) {
            bed.blockMessages("vm-0", "vm-" + other);
        }

        bed.time.runUntil(bed.time.now() + 2 * Membership.QUORUM_LEASE_MS);
        boolean whilePartitioned = bed.host(0).node().membership().isActive();
        bed.heal();
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(whilePartitioned).isFalse();
        assertThat(bed.host(0).node().membership().isActive()).isTrue();
    }

    @Test
    void isInactiveAtOnceWhenItResumesAfterItsLeaseExpired() {
        TestBed bed = TestBed.start(2, 4, 10, 100);
        TestHost frozen = bed.host(2);
        frozen.freeze();

        bed.time.runUntil(bed.time.now() + Membership.QUORUM_LEASE_MS + 1);
        boolean whileFrozen = frozen.node().membership().isActive();
        bed.time.runUntil(bed.time.now() + 5_000);
        frozen.thaw();
        bed.time.runUntil(bed.time.now() + 5_000);

        assertThat(whileFrozen).isFalse();
        assertThat(frozen.node().membership().isActive()).isTrue();
    }

    @Test
    void removesACrashedDaemon() {
        TestBed bed = TestBed.start(3, 4, 10, 100);

        bed.host(1).kill();
        bed.time.runUntil(bed.time.now() + 3_000);

        assertThat(bed.host(0).node().entryVms().stream().map(Member::vm)).containsExactly("vm-0", "vm-2", "vm-3");
        assertThat(bed.host(0).node().membership().isActive()).isTrue();
    }

    @Test
    void keepsTheLastDaemonActiveOnceTheOthersAreProvenDead() {
        TestBed bed = TestBed.start(4, 4, 10, 100);
        for (int other = 1; other < 4; other++) {
            bed.host(other).kill();
        }

        bed.time.runUntil(bed.time.now() + 15_000);
        String request = bed.checker.sendCompletion(bed.host(0), "alone", 5, 5_000);
        bed.time.runUntil(bed.time.now() + 2_000);

        assertThat(bed.checker.outcome(request)).isEqualTo("complete");
    }

    @Test
    void keepsAMinorityInactiveWhileTheOthersMayBeAlive() {
        TestBed bed = TestBed.start(5, 4, 10, 100);
        for (int other = 1; other < 4; other++) {
            bed.blockMessages("vm-0", "vm-" + other);
            bed.blockMessages("vm-" + other, "vm-0");
            bed.store.disconnect("vm-" + other);
        }

        bed.time.runUntil(bed.time.now() + 60_000);

        assertThat(bed.host(0).node().membership().isActive()).isFalse();
        assertThat(bed.host(1).node().membership().isActive()).isTrue();
    }

    @Test
    void keepsAllDaemonsActiveWhenRelaysCrashOneAfterAnother() {
        TestBed bed = TestBed.startWithoutTemplate(6, 20);
        int killed = 0;
        for (int i = 0; i < 20 && killed < 3; i++) {
            TestHost host = bed.host(i);
            Head head = bed.host(19 - i).node().membership().head();
            boolean isRelay = head.members().stream()
                    .anyMatch(m -> Relays.relayOf(head, m)
                            .filter(r -> r.vm().equals(host.vm()))
                            .isPresent());
            if (isRelay) {
                host.kill();
                killed++;
                bed.time.runUntil(bed.time.now() + 10_000);
            }
        }

        assertThat(killed).isEqualTo(3);
        for (TestHost host : bed.hosts()) {
            if (host.isRunning()) {
                assertThat(host.node().membership().isActive()).isTrue();
                assertThat(host.node().membership().head().members()).hasSize(17);
            }
        }
    }

    @Test
    void appliesAChangeEverywhereInTimeBehindRelays() {
        TestBed bed = TestBed.startWithoutTemplate(7, 20);
        bed.time.every(20, () -> bed.hosts().forEach(h -> bed.checker.checkConfigurationOf(h)));

        bed.publish(bed.host(17), TestBed.template(TestBed.TEAM), 0);
        bed.time.runUntil(bed.time.now() + 1_000);
        bed.host(3).freeze();
        bed.vote(bed.host(18), 9, 100);
        bed.time.runUntil(bed.time.now() + 10_000);
        bed.host(3).thaw();
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(bed.checker.acceptedCount()).isEqualTo(2);
        for (TestHost host : bed.hosts()) {
            assertThat(host.node().configuration().revision()).isEqualTo(2);
        }
        assertThat(bed.checker.violations()).isEmpty();
    }
}
