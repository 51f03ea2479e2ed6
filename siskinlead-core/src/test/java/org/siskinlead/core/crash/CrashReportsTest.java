package org.siskinlead.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.FakeLeaseStore;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.roster.Roster;

/** Tests the exchange of evidence through the store, also when it is away or holds what nobody here wrote. */
class CrashReportsTest {
    private static final Suspect SUSPECT = new Suspect("x-1", Set.of("part:bad", "request:f"));

    private final ManualTimers timers = new ManualTimers();
    private final FakeLeaseStore store = new FakeLeaseStore(timers);
    private final List<String> received = new ArrayList<>();
    private final CrashReports sender = start("vm0");
    private final CrashReports receiver = start("vm1");

    private CrashReports start(String vm) {
        CrashReports reports = CrashReports.of(vm, store.client(), timers, new Random(1), () -> 2);
        reports.setListener(new CrashReports.Listener() {
            @Override
            public void onCrash(String instanceId, List<Suspect> suspects) {
                suspects.forEach(s -> received.add(
                        vm + " " + instanceId + " " + s.attempt() + " " + String.join(",", new TreeSet<>(s.traits()))));
            }

            @Override
            public void onCleared(String trait, List<String> instanceIds) {
                received.add(vm + " cleared " + trait + " " + instanceIds);
            }
        });
        attach(reports);
        return reports;
    }

    private void attach(CrashReports reports) {
        store.attach(new FakeLeaseStore.Watcher() {
            @Override
            public void onKeyPresent(String key, byte[] value, long lease, Roster.Discovery discovery) {
                reports.onKeyPresent(key, value);
            }

            @Override
            public void onKeyRemoved(String key) {
                reports.onKeyRemoved(key);
            }
        });
    }

    @Test
    void reportsSuspectsToTheOtherDaemons() {
        sender.reportCrash("a@1", List.of(SUSPECT));
        timers.advance(10);

        assertThat(received).contains("vm1 a@1 x-1 part:bad,request:f");
    }

    @Test
    void keepsEvidenceForDaemonsThatStartLater() {
        sender.reportCrash("a@1", List.of(SUSPECT));
        timers.advance(10);
        received.clear();
        start("vm2");

        assertThat(received).containsExactly("vm2 a@1 x-1 part:bad,request:f");
    }

    @Test
    void reportsAgainUntilTheStoreHasAnswered() {
        store.mode = FakeLeaseStore.Mode.UNAVAILABLE;
        sender.reportCrash("a@1", List.of(SUSPECT));
        timers.advance(20_000);
        assertThat(received).isEmpty();
        store.mode = FakeLeaseStore.Mode.WORKING;
        timers.advance(2_000);

        assertThat(received).contains("vm1 a@1 x-1 part:bad,request:f");
    }

    @Test
    void writesItsEvidenceAgainWhenTheStoreHasLostIt() {
        sender.reportCrash("a@1", List.of(SUSPECT));
        sender.reportCleared("part:bad", List.of("a@1"));
        timers.advance(1_000);
        List<String> before = store.keys();
        store.restoreEmpty();
        sender.onStoreRestored();
        timers.advance(1_000);

        assertThat(store.keys()).containsExactlyElementsIn(before);
    }

    @Test
    void reportsAClearanceOnlyOnce() {
        sender.reportCleared("part:bad", List.of("a@1"));
        receiver.reportCleared("part:bad", List.of("a@1"));
        timers.advance(2_000);

        assertThat(store.keys().stream().filter(k -> k.contains("cleared")).count())
                .isEqualTo(1);
        assertThat(received).contains("vm1 cleared part:bad [a@1]");
    }

    @Test
    void givesATrialToOneDaemonOnly() {
        List<Boolean> granted = new ArrayList<>();
        CrashAttribution.Trial trial = new CrashAttribution.Trial("part:bad", 2);
        sender.claim(trial, granted::add);
        receiver.claim(trial, granted::add);
        timers.advance(10);

        assertThat(granted).containsExactly(true, false);
    }

    @Test
    void givesNoTrialWhenTheStoreDoesNotAnswer() {
        List<Boolean> granted = new ArrayList<>();
        store.mode = FakeLeaseStore.Mode.ANSWERS_LOST;
        sender.claim(new CrashAttribution.Trial("part:bad", 2), granted::add);
        timers.advance(1_000);

        assertThat(granted).containsExactly(false);
    }

    @Test
    void ignoresWhatIsNoEvidence() {
        for (String value : List.of("", "\t", "x", "\n\n\t\t", "\u0000")) {
            receiver.onKeyPresent(CrashReports.PREFIX + "suspects/a@1/vm9", value.getBytes(StandardCharsets.UTF_8));
        }
        receiver.onKeyPresent(CrashReports.PREFIX + "suspects/", new byte[] {1});
        receiver.onKeyPresent(CrashReports.PREFIX + "else", new byte[0]);

        assertThat(received).isEmpty();
    }

    @Test
    void removesExpiredEvidenceOfDaemonsThatAreGone() {
        sender.reportCrash("a@1", List.of(SUSPECT));
        timers.advance(10);
        store.detachAll();
        start("vm3");
        timers.advance(3 * CrashAttribution.CRASH_TTL_MS);

        assertThat(store.keys()).isEmpty();
    }
}
