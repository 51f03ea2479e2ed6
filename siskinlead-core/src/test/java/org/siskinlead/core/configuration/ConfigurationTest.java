package org.siskinlead.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinlead.core.fakes.TestBed;
import org.siskinlead.core.fakes.TestHost;

class ConfigurationTest {
    private static final long ADVANCE_MS = 4_000;

    @Test
    void reportsAConflictToTheLaterOfTwoConcurrentChanges() {
        TestBed bed = TestBed.start(1, 4, 10, 100);
        List<UpdateResult.State> answers = new ArrayList<>();

        for (int i = 0; i < 2; i++) {
            bed.host(i).node().configuration().publish(TestBed.template(TestBed.TEAM), 2, p -> answers.add(p.state()));
        }
        bed.time.runUntil(bed.time.now() + ADVANCE_MS);

        assertThat(answers).containsExactly(UpdateResult.State.ACCEPTED, UpdateResult.State.CONFLICT);
    }

    @Test
    void acceptsChangesOfTwoTeamsInOneBucketAtOnce() {
        TestBed bed = TestBed.start(2, 4, 10, 100);
        String otherTeam = teamInSameBucketAs(TestBed.TEAM);
        List<UpdateResult.State> answers = new ArrayList<>();

        bed.host(0).node().configuration().publish(TestBed.template(TestBed.TEAM), 2, p -> answers.add(p.state()));
        bed.host(1).node().configuration().publish(TestBed.template(otherTeam), 0, p -> answers.add(p.state()));
        bed.time.runUntil(bed.time.now() + ADVANCE_MS);

        assertThat(answers).containsExactly(UpdateResult.State.ACCEPTED, UpdateResult.State.ACCEPTED);
    }

    @Test
    void appliesAChangeOnEveryActiveDaemonWhileOneIsFrozenAndOneHasNoStore() {
        TestBed bed = TestBed.start(3, 4, 10, 100);
        bed.store.disconnect("vm-2");
        bed.host(3).freeze();

        bed.vote(bed.host(0), 5, 100);
        bed.time.runUntil(bed.time.now() + 10_000);
        bed.host(3).thaw();
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(bed.checker.acceptedCount()).isEqualTo(3);
        assertThat(bed.host(2).node().configuration().revision()).isEqualTo(3);
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void doesNotReportAcceptedWithoutAMajorityOfWitnesses() {
        TestBed bed = TestBed.start(4, 4, 10, 100);
        for (int i = 1; i < 4; i++) {
            bed.blockMessages("vm-0", "vm-" + i);
            bed.blockMessages("vm-" + i, "vm-0");
        }
        List<UpdateResult.State> answers = new ArrayList<>();

        bed.host(0).node().configuration().publish(TestBed.template(TestBed.TEAM), 2, p -> answers.add(p.state()));
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(answers).hasSize(1);
        assertThat(answers).doesNotContain(UpdateResult.State.ACCEPTED);
        assertThat(bed.host(0).node().membership().isActive()).isFalse();
    }

    @Test
    void servesRequestsAndRefusesChangesDuringALongStoreOutage() {
        TestBed bed = TestBed.start(5, 4, 10, 100);
        bed.store.outage = true;
        bed.time.runUntil(bed.time.now() + 600_000);
        List<UpdateResult.State> answers = new ArrayList<>();

        String request = bed.checker.sendCompletion(bed.host(1), "during the outage", 5, 5_000);
        bed.host(0).node().configuration().publish(TestBed.template(TestBed.TEAM), 2, p -> answers.add(p.state()));
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(bed.checker.outcome(request)).isEqualTo("complete");
        assertThat(answers).containsExactly(UpdateResult.State.UNAVAILABLE);
    }

    @Test
    void admitsNothingOnADaemonStartedDuringAStoreOutage() {
        TestBed bed = TestBed.start(6, 3, 10, 100);
        bed.store.outage = true;
        TestHost late = bed.startHost("vm-3");
        bed.time.runUntil(bed.time.now() + 5_000);

        String refused = bed.checker.sendCompletion(late, "too early", 5, 5_000);
        bed.time.runUntil(bed.time.now() + 2_000);
        bed.store.outage = false;
        bed.time.runUntil(bed.time.now() + 5_000);
        String served = bed.checker.sendCompletion(late, "now", 5, 5_000);
        bed.time.runUntil(bed.time.now() + 3_000);

        assertThat(bed.checker.outcome(refused)).isEqualTo("not-run");
        assertThat(bed.checker.outcome(served)).isEqualTo("complete");
    }

    @Test
    void keepsAcceptedChangesWhenAllDaemonsAreReplacedAndReadsAreStale() {
        TestBed bed = TestBed.start(7, 4, 10, 100);
        bed.vote(bed.host(0), 7, 100);
        bed.time.runUntil(bed.time.now() + 3_000);
        bed.store.staleReads = true;

        bed.hosts().forEach(TestHost::kill);
        for (int i = 0; i < 4; i++) {
            bed.startHost("new-" + i);
        }
        bed.time.runUntil(bed.time.now() + 20_000);

        for (TestHost host : bed.hosts()) {
            if (host.isRunning()) {
                assertThat(host.node().membership().isActive()).isTrue();
                assertThat(host.node().configuration().revision()).isEqualTo(3);
            }
        }
        assertThat(bed.checker.violations()).isEmpty();
    }

    @Test
    void determinesWhetherAWriteWithALostAnswerTookEffect() {
        TestBed bed = TestBed.start(8, 4, 10, 100);
        bed.store.answerLossProbability = 0.5;

        for (int limit = 20; limit < 30; limit++) {
            bed.vote(bed.host(limit % 4), limit, 100);
            bed.time.runUntil(bed.time.now() + 6_000);
        }
        bed.store.answerLossProbability = 0;
        bed.time.runUntil(bed.time.now() + 6_000);

        assertThat(bed.checker.acceptedCount()).isAtLeast(5);
        assertThat(bed.checker.violations()).isEmpty();
    }

    private static String teamInSameBucketAs(String team) {
        for (int i = 0; ; i++) {
            if (Bucket.nameForTeam("team-" + i).equals(Bucket.nameForTeam(team))) {
                return "team-" + i;
            }
        }
    }
}
