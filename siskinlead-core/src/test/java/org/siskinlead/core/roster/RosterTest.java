package org.siskinlead.core.roster;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/** Tests who is listed and who issues orders while the store is down, loses answers or is cut off from one daemon. */
class RosterTest {
    private final ManualTimers timers = new ManualTimers();
    private final FakeLeaseStore store = new FakeLeaseStore(timers);
    private final List<Roster> rosters = new ArrayList<>();
    private final List<StoreOutages> outages = new ArrayList<>();
    private final List<FakeLeaseStore.Client> clients = new ArrayList<>();

    @BeforeEach
    void startThree() {
        timers.advance(10_000);
        for (int i = 0; i < 3; i++) {
            start("vm" + i);
        }
        timers.advance(3_000);
    }

    private void start(String vm) {
        FakeLeaseStore.Client client = store.client();
        Timeline timeline = Timeline.of(vm, HybridClock.of(timers::wallMillis), event -> {});
        StoreOutages seen = StoreOutages.of(timers);
        outages.add(seen);
        Roster roster = Roster.start(new RosterEntry(vm, vm + ":1", "east"), client, timers, timeline, seen);
        clients.add(client);
        rosters.add(roster);
        store.attach(roster);
        roster.announce();
    }

    @Test
    void listsEveryDaemonAndLetsExactlyOneIssueOrders() {
        for (Roster roster : rosters) {
            assertThat(roster.entries()).hasSize(3);
        }
        assertThat(issuers()).hasSize(1);
    }

    // Guards against leases that the store gives out again after it was restored from an older snapshot.
    @Test
    void registersAgainWhenTheStoreHasLostEverythingAndNumbersLeasesAnew() {
        store.restoreEmpty();
        for (Roster roster : rosters) {
            outages.get(rosters.indexOf(roster)).begin("timed out");
            roster.onStoreRestored();
            roster.retainKeys(List.of());
            outages.get(rosters.indexOf(roster)).onAnswered();
            assertThat(roster.mayIssueOrders()).isFalse();
        }
        timers.advance(1_000);

        assertThat(store.keys()).containsAtLeast("siskinlead/vm/vm0", "siskinlead/vm/vm1", "siskinlead/vm/vm2");
        assertThat(issuers()).hasSize(1);
        timers.advance(10_000);
        for (Roster roster : rosters) {
            assertThat(roster.entries()).hasSize(3);
        }
    }

    // Guards against each daemon counting itself as the only one when the store is lost again right after it was
    // restored
    // from a copy without their entries.
    @Test
    void keepsListingDaemonsWhenTheStoreIsLostAgainBeforeTheyCouldRegister() {
        store.restoreEmpty();
        store.mode = FakeLeaseStore.Mode.UNAVAILABLE;
        for (Roster roster : rosters) {
            outages.get(rosters.indexOf(roster)).begin("timed out");
            roster.onStoreRestored();
            roster.retainKeys(List.of());
            outages.get(rosters.indexOf(roster)).onAnswered();
            outages.get(rosters.indexOf(roster)).begin("timed out");
        }
        timers.advance(8_000);
        for (Roster roster : rosters) {
            assertThat(roster.entries()).hasSize(3);
        }

        store.mode = FakeLeaseStore.Mode.WORKING;
        outages.forEach(StoreOutages::onAnswered);
        timers.advance(6_000);
        for (Roster roster : rosters) {
            assertThat(roster.entries()).hasSize(3);
        }
    }

    @Test
    void letsAnotherDaemonIssueOrdersWhenTheIssuerLeaves() {
        Roster issuer = issuers().get(0);
        issuer.leave();
        timers.advance(2_000);

        assertThat(issuer.mayIssueOrders()).isFalse();
        assertThat(issuers()).hasSize(1);
        assertThat(rosters.get(rosters.indexOf(issuer) == 0 ? 1 : 0).entries()).hasSize(2);
    }

    @Test
    void stopsIssuingOrdersBeforeAnotherDaemonStarts() {
        Roster issuer = issuers().get(0);
        clients.get(rosters.indexOf(issuer)).disconnected = true;
        for (int step = 0; step < 120; step++) {
            timers.advance(50);
            assertThat(issuers().size()).isAtMost(1);
        }

        assertThat(issuer.mayIssueOrders()).isFalse();
        assertThat(issuers()).hasSize(1);
    }

    @Test
    void stopsIssuingOrdersAtOnceAfterTheMachineWasSuspended() {
        timers.suspend(5_000);

        assertThat(issuers()).isEmpty();
    }

    @Test
    void recoversWithinTwoSecondsAfterAStoreOutageThatEndedTheLeases() {
        store.mode = FakeLeaseStore.Mode.UNAVAILABLE;
        outages.forEach(o -> o.begin("timed out"));
        timers.advance(8_000);
        store.mode = FakeLeaseStore.Mode.WORKING;
        outages.forEach(StoreOutages::onAnswered);
        timers.advance(1_800);

        for (Roster roster : rosters) {
            assertThat(roster.entries()).hasSize(3);
        }
        assertThat(issuers()).hasSize(1);
    }

    @Test
    void keepsListingDaemonsWhoseEntriesLapsedInAStoreOutage() {
        outages.forEach(o -> o.begin("timed out"));
        outages.forEach(StoreOutages::onAnswered);
        for (Roster roster : rosters) {
            roster.onKeyRemoved("siskinlead/vm/vm0");
            assertThat(roster.entries()).hasSize(3);
        }
    }

    @Test
    void doesNotMistakeALeaveSoonAfterAStoreOutageForALapse() {
        outages.forEach(o -> o.begin("timed out"));
        outages.forEach(StoreOutages::onAnswered);

        rosters.get(0).leave();
        timers.advance(200);

        assertThat(rosters.get(1).entries()).hasSize(2);
        assertThat(rosters.get(2).entries()).hasSize(2);
    }

    @Test
    void registersWhenTheStoresAnswersAreLost() {
        store.mode = FakeLeaseStore.Mode.ANSWERS_LOST;
        start("late");
        timers.advance(1_500);
        store.mode = FakeLeaseStore.Mode.WORKING;
        timers.advance(3_000);

        assertThat(rosters.get(0).entries()).hasSize(4);
    }

    @Test
    void writesNothingWhileNothingChanges() {
        int before = store.writes;
        timers.advance(30_000);

        assertThat(store.writes - before).isEqualTo(0);
    }

    @Test
    void renewsLessOftenWithManyDaemons() {
        for (int i = 3; i < 33; i++) {
            start("vm" + i);
        }
        timers.advance(3_000);
        int before = renewals();
        timers.advance(30_000);

        assertThat(renewals() - before).isAtMost(33 * 30);
        assertThat(rosters.get(0).entries()).hasSize(33);
    }

    @Test
    void batchesChangesLongerWithManyDaemons() {
        long smallRosterMillis = rosters.get(0).batchWindowMillis();
        for (int i = 3; i < 33; i++) {
            start("vm" + i);
        }
        timers.advance(3_000);

        assertThat(rosters.get(0).batchWindowMillis()).isGreaterThan(smallRosterMillis);
        assertThat(rosters.get(0).batchWindowMillis()).isAtMost(500);
    }

    @Test
    void keepsManyDaemonsListedWhenEveryOtherRenewalIsLost() {
        for (int i = 3; i < 33; i++) {
            start("vm" + i);
        }
        timers.advance(3_000);
        clients.forEach(client -> client.losesEveryOtherRenewal = true);
        for (int step = 0; step < 300; step++) {
            timers.advance(100);
            assertThat(rosters.get(0).entries()).hasSize(33);
        }
        assertThat(issuers()).hasSize(1);
    }

    private int renewals() {
        return clients.stream().mapToInt(client -> client.renewalCount).sum();
    }

    @Test
    void publishesTargetsFoundDown() {
        List<String> reports = new ArrayList<>();
        rosters.get(1).setDownListener((id, fingerprints, discovery) -> reports.add(id + fingerprints + discovery));

        rosters.get(0).publishDown("i-1@7", List.of("f1", "f2"));
        timers.advance(100);

        assertThat(reports).containsExactly("i-1@7[f1, f2]CHANGED");
    }

    private List<Roster> issuers() {
        return rosters.stream().filter(Roster::mayIssueOrders).toList();
    }
}
