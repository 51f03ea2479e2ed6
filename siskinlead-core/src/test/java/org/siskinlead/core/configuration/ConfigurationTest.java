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
    void givesTheLoserOfARaceAClearConflict() {
        TestBed bed = TestBed.start(1, 4, 10, 100);
        List<Publication.State> answers = new ArrayList<>();

        for (int i = 0; i < 2; i++) {
            bed.host(i).node().configuration().publish(TestBed.template(TestBed.TEAM), 2, p -> answers.add(p.state()));
        }
        bed.time.runUntil(bed.time.now() + ADVANCE_MS);

        assertThat(answers).containsExactly(Publication.State.ACCEPTED, Publication.State.CONFLICT);
    }

    @Test
    void acceptsChangesOfTwoTeamsInOneBucketAtOnce() {
        TestBed bed = TestBed.start(2, 4, 10, 100);
        String sibling = siblingOf(TestBed.TEAM);
        List<Publication.State> answers = new ArrayList<>();

        bed.host(0).node().configuration().publish(TestBed.template(TestBed.TEAM), 2, p -> answers.add(p.state()));
        bed.host(1).node().configuration().publish(TestBed.template(sibling), 0, p -> answers.add(p.state()));
        bed.time.runUntil(bed.time.now() + ADVANCE_MS);

        assertThat(answers).containsExactly(Publication.State.ACCEPTED, Publication.State.ACCEPTED);
    }

    @Test
    void bindsEveryActingDaemonWhileOneIsFrozenAndOneIsCutFromTheStore() {
        TestBed bed = TestBed.start(3, 4, 10, 100);
        bed.store.cut("vm-2");
        bed.host(3).freeze();

        bed.vote(bed.host(0), 5, 100);
        bed.time.runUntil(bed.time.now() + 10_000);
        bed.host(3).thaw();
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(bed.judge.accepted()).isEqualTo(3);
        assertThat(bed.host(2).node().configuration().revision()).isEqualTo(3);
        assertThat(bed.judge.violations()).isEmpty();
    }

    @Test
    void doesNotSayAcceptedWithoutAMajorityOfWitnesses() {
        TestBed bed = TestBed.start(4, 4, 10, 100);
        for (int i = 1; i < 4; i++) {
            bed.cut("vm-0", "vm-" + i);
            bed.cut("vm-" + i, "vm-0");
        }
        List<Publication.State> answers = new ArrayList<>();

        bed.host(0).node().configuration().publish(TestBed.template(TestBed.TEAM), 2, p -> answers.add(p.state()));
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(answers).hasSize(1);
        assertThat(answers).doesNotContain(Publication.State.ACCEPTED);
        assertThat(bed.host(0).node().membership().isActive()).isFalse();
    }

    @Test
    void servesOnThroughALongOutageOfTheStoreAndRefusesChanges() {
        TestBed bed = TestBed.start(5, 4, 10, 100);
        bed.store.outage = true;
        bed.time.runUntil(bed.time.now() + 600_000);
        List<Publication.State> answers = new ArrayList<>();

        String request = bed.judge.complete(bed.host(1), "during the outage", 5, 5_000);
        bed.host(0).node().configuration().publish(TestBed.template(TestBed.TEAM), 2, p -> answers.add(p.state()));
        bed.time.runUntil(bed.time.now() + 10_000);

        assertThat(bed.judge.outcome(request)).isEqualTo("complete");
        assertThat(answers).containsExactly(Publication.State.UNAVAILABLE);
    }

    @Test
    void admitsNothingOnADaemonStartedDuringAnOutage() {
        TestBed bed = TestBed.start(6, 3, 10, 100);
        bed.store.outage = true;
        TestHost late = bed.startHost("vm-3");
        bed.time.runUntil(bed.time.now() + 5_000);

        String refused = bed.judge.complete(late, "too early", 5, 5_000);
        bed.time.runUntil(bed.time.now() + 2_000);
        bed.store.outage = false;
        bed.time.runUntil(bed.time.now() + 5_000);
        String served = bed.judge.complete(late, "now", 5, 5_000);
        bed.time.runUntil(bed.time.now() + 3_000);

        assertThat(bed.judge.outcome(refused)).isEqualTo("not-run");
        assertThat(bed.judge.outcome(served)).isEqualTo("complete");
    }

    @Test
    void keepsWhatWasAcceptedWhenAllDaemonsAreReplacedAndReadsAreStale() {
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
            if (host.awake()) {
                assertThat(host.node().membership().isActive()).isTrue();
                assertThat(host.node().configuration().revision()).isEqualTo(3);
            }
        }
        assertThat(bed.judge.violations()).isEmpty();
    }

    @Test
    void findsOutWhetherAWriteWithALostAnswerTookEffect() {
        TestBed bed = TestBed.start(8, 4, 10, 100);
        bed.store.answerLoss = 0.5;

        for (int limit = 20; limit < 30; limit++) {
            bed.vote(bed.host(limit % 4), limit, 100);
            bed.time.runUntil(bed.time.now() + 6_000);
        }
        bed.store.answerLoss = 0;
        bed.time.runUntil(bed.time.now() + 6_000);

        assertThat(bed.judge.accepted()).isAtLeast(5);
        assertThat(bed.judge.violations()).isEmpty();
    }

    private static String siblingOf(String team) {
        for (int i = 0; ; i++) {
            if (Bucket.of("team-" + i).equals(Bucket.of(team))) {
                return "team-" + i;
            }
        }
    }
}
