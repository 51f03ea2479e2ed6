package org.siskinlead.core.freshness;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.roster.Roster;

/** Tests when the configuration in a store that was restored from a copy is taken for the newest one. */
class EraGuardTest {
    /** Time for which a withdrawn key may still work, and for which a daemon that starts waits for the operator. */
    private static final long REVOKE_MS = 5_000;

    private final ManualTimers timers = new ManualTimers();
    private final FakeLeaseStore store = new FakeLeaseStore(timers);
    private final List<Daemon> daemons = new ArrayList<>();

    /** A daemon that reads the mark whenever it is written, and keeps a configuration until it is told of a newer one. */
    private final class Daemon implements FakeLeaseStore.Watcher {
        private final EraGuard guard;
        private long version;
        private int renewals;

        Daemon(int rank, long version) {
            this(rank, version, EraGuard.Start.LATER);
        }

        Daemon(int rank, long version, EraGuard.Start start) {
            this.version = version;
            this.guard = EraGuard.of(
                    store.client(),
                    timers,
                    new EraGuard.Settings(REVOKE_MS, start),
                    () -> this.version,
                    () -> rank,
                    () -> renewals++);
            daemons.add(this);
        }

        /** Reads everything from the store, in an era in which the configuration has a revision. */
        Daemon read(long era, long configurationRevision) {
            guard.onEra(era);
            guard.onConfigurationRead(configurationRevision);
            store.attach(this);
            guard.onListed(store.keys());
            return this;
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

        timers.advance(REVOKE_MS - 1);
        assertThat(started.trusts()).isFalse();
        timers.advance(1);
        assertThat(started.trusts()).isTrue();
        assertThat(started.renewals).isEqualTo(1);
    }

    @Test
    void trustsAtOnceWhenADaemonThatLivedOnVouches() {
        Daemon old = new Daemon(0, 8).read(3);
        timers.advance(2 * REVOKE_MS);
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
        timers.advance(2 * REVOKE_MS);
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

    // Guards against marks of all daemons adding up to a burst of writes.
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

    // Guards against a burst of marks with every change of the configuration.
    @Test
    void writesOneMarkForAChange() {
        for (int i = 0; i < 38; i++) {
            new Daemon(i, 8).read(3, 100);
        }
        timers.advance(20_000);
        int before = store.writes;
        for (int change = 1; change <= 5; change++) {
            for (Daemon daemon : daemons) {
                daemon.version = 8 + change;
                daemon.guard.onConfigurationRead(100 + change);
                daemon.guard.onOperatorWrote();
            }
            timers.advance(300);
        }
        timers.advance(20_000);

        assertThat(store.writes - before).isEqualTo(5);
    }

    // Guards against all daemons refusing callers for seconds although the operator wrote again before they started.
    @Test
    void trustsAConfigurationThatWasWrittenAfterTheCopysMark() {
        mark("3 8 100");

        assertThat(new Daemon(0, 8).read(4, 100).trusts()).isFalse();
        assertThat(new Daemon(1, 8).read(4, 101).trusts()).isTrue();
    }

    // Guards against a mark of a release that did not repeat it with each change.
    @Test
    void concludesNothingFromAMarkWithoutTheRevisionOfTheConfiguration() {
        mark("3 8");

        assertThat(new Daemon(0, 8).read(4, 101).trusts()).isFalse();
    }

    // Guards against a withdrawn key working because only the copy's mark knows of the change that withdrew it.
    @Test
    void trustsNoVersionBelowTheOneThatTheCopysMarkNames() {
        mark("3 9 100");
        Daemon started = new Daemon(0, 8).read(4, 100);
        timers.advance(REVOKE_MS);
        assertThat(started.trusts()).isFalse();

        started.version = 9;
        started.guard.onConfigurationRead(110);
        assertThat(started.trusts()).isTrue();
    }

    // Guards against a withdrawn key working at daemons that were all killed while the store was restored.
    @ParameterizedTest
    @ValueSource(longs = {200, 1_000, 2_000, 4_999, 10_000})
    void trustsTheCopyOnlyIfTheOperatorWritesNothingForAsLongAsAWithdrawnKeyMayWork(long writesAfterMillis) {
        mark("3 8 100");
        Daemon started = new Daemon(0, 8).read(4, 100);
        timers.advance(Math.min(writesAfterMillis, REVOKE_MS) - 1);
        assertThat(started.trusts()).isFalse();

        timers.advance(1);
        if (writesAfterMillis < REVOKE_MS) {
            started.version = 9;
            started.guard.onConfigurationRead(110);
        }
        assertThat(started.trusts()).isTrue();
    }

    @Test
    void trustsTheConfigurationAtTheFirstStartOfTheSystem() {
        Daemon first = new Daemon(0, 8, EraGuard.Start.FIRST);
        first.guard.onEra(1);
        assertThat(first.trusts()).isFalse();
        first.read(1, 2);
        assertThat(first.trusts()).isTrue();

        timers.advance(100);
        assertThat(new Daemon(1, 8).read(1, 2).trusts()).isTrue();
    }

    // Guards against settings of the first start that are still in place when a daemon starts again.
    @Test
    void waitsAtAStartThatIsNotTheFirst() {
        assertThat(new Daemon(0, 8).read(1, 2).trusts()).isFalse();
        Daemon interrupted = new Daemon(0, 0, EraGuard.Start.FIRST);
        interrupted.guard.onEra(1);
        interrupted.version = 8;
        assertThat(interrupted.read(2, 2).trusts()).isFalse();
        mark("1 8 2");
        assertThat(new Daemon(0, 8, EraGuard.Start.FIRST).read(3, 2).trusts()).isFalse();
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
