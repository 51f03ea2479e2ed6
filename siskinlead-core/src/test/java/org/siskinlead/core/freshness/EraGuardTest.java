package org.siskinlead.core.freshness;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.roster.Roster;

/** Tests when the configuration in a store that was restored from a copy is taken for the newest one. */
class EraGuardTest {
    private final ManualTimers timers = new ManualTimers();
    private final FakeLeaseStore store = new FakeLeaseStore(timers);
    private final List<Daemon> daemons = new ArrayList<>();

    /** A daemon that reads the mark whenever it is written, and keeps a configuration until it is told of a newer one. */
    private final class Daemon implements FakeLeaseStore.Watcher {
        private final EraGuard guard;
        private long version;
        private int renewals;

        Daemon(int rank, long version) {
            this.version = version;
            this.guard = EraGuard.of(store.client(), timers, () -> this.version, () -> rank, () -> renewals++);
            daemons.add(this);
        }

        /** Reads everything from the store, in an era. */
        Daemon read(long era) {
            guard.onEra(era);
            store.attach(this);
            return this;
        }

        @Override
        public void onKeyPresent(String key, byte[] value, long lease, Roster.Discovery discovery) {
            guard.onMark(value);
        }

        @Override
        public void onKeyRemoved(String key) {}

        boolean trusts() {
            return guard.trustsConfiguration();
        }
    }

    @BeforeEach
    void begin() {
        timers.advance(10_000);
    }

    private void mark(String value) {
        store.client()
                .commit(
                        List.of(),
                        List.of(new org.siskinlead.core.platform.LeaseStore.Change(
                                EraGuard.KEY, value.getBytes(StandardCharsets.UTF_8), 0)),
                        outcome -> {});
        timers.advance(10);
    }

    @Test
    void trustsAStoreThatNamesNoEra() {
        assertThat(new Daemon(0, 0).read(EraGuard.NO_ERA).trusts()).isTrue();
        timers.advance(10_000);
        assertThat(store.writes).isEqualTo(0);
    }

    @Test
    void trustsAnEraForWhichADaemonHasVouched() {
        mark("3 8");

        assertThat(new Daemon(0, 8).read(3).trusts()).isTrue();
    }

    // Guards against a daemon that starts taking the copy's configuration for the newest.
    @Test
    void waitsForTheOperatorWhenItStartsInAnEraForWhichNobodyHasVouched() {
        mark("3 8");
        Daemon started = new Daemon(0, 8).read(4);
        assertThat(started.trusts()).isFalse();

        started.guard.onOperatorWrote();
        assertThat(started.trusts()).isTrue();
    }

    @Test
    void waitsNoLongerThanTheOperatorHasForWritingAgain() {
        mark("3 8");
        Daemon started = new Daemon(0, 8).read(4);

        timers.advance(EraGuard.REWRITE_MS - 1);
        assertThat(started.trusts()).isFalse();
        timers.advance(1);
        assertThat(started.trusts()).isTrue();
        assertThat(started.renewals).isEqualTo(1);
    }

    @Test
    void trustsAtOnceWhenADaemonThatLivedOnVouches() {
        Daemon old = new Daemon(0, 8).read(3);
        timers.advance(4_000);
        old.guard.onEra(4);
        assertThat(old.trusts()).isTrue();
        Daemon started = new Daemon(1, 8).read(4);
        assertThat(started.trusts()).isFalse();

        timers.advance(100);
        assertThat(started.trusts()).isTrue();
    }

    // Guards against a configuration that is older than the one in force at another daemon.
    @Test
    void trustsNoVersionBelowTheOneThatAnotherDaemonHadInForce() {
        Daemon behind = new Daemon(0, 8).read(3);
        Daemon ahead = new Daemon(1, 9).read(3);
        timers.advance(4_000);
        behind.guard.onEra(4);
        ahead.guard.onEra(4);
        timers.advance(1_000);
        assertThat(behind.trusts()).isFalse();
        assertThat(ahead.trusts()).isTrue();

        behind.version = 9;
        assertThat(behind.trusts()).isTrue();
    }

    @Test
    void stopsWaitingForAVersionThatNeverComes() {
        mark("3 99");
        Daemon started = new Daemon(0, 8).read(3);

        timers.advance(EraGuard.MAX_WAIT_MS - 1);
        assertThat(started.trusts()).isFalse();
        timers.advance(1);
        assertThat(started.trusts()).isTrue();
    }

    // Guards against marks of all daemons adding up to a burst of writes, and against a mark with every change.
    @Test
    void writesOneMarkForAnEra() {
        for (int i = 0; i < 38; i++) {
            new Daemon(i, 8).read(3);
        }
        timers.advance(20_000);
        daemons.forEach(d -> d.version = 12);
        daemons.forEach(d -> d.guard.onOperatorWrote());
        timers.advance(20_000);

        assertThat(store.writes).isAtMost(2);
        assertThat(store.keys()).containsExactly(EraGuard.KEY);
    }

    @Test
    void takesAMarkThatCannotBeReadForNone() {
        for (String value : List.of("", "x", "3x 8", "3 y")) {
            mark(value);
            assertThat(new Daemon(9, 8).read(3).trusts()).isFalse();
        }
    }

    @Test
    void repeatsAMarkThatTheStoreDidNotTake() {
        store.mode = FakeLeaseStore.Mode.UNAVAILABLE;
        Daemon daemon = new Daemon(0, 8).read(3);
        timers.advance(6_000);
        store.mode = FakeLeaseStore.Mode.WORKING;
        timers.advance(2_000);

        assertThat(daemon.trusts()).isTrue();
        assertThat(store.keys()).containsExactly(EraGuard.KEY);
    }
}
