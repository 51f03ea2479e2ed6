package org.siskinlead.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinlead.core.fakes.ManualTimers;

/** Tests which traits are blocked after which crashes and answers. */
class CrashAttributionTest {
    private static final String BAD = Suspect.part("bad");
    private static final String COMMON = Suspect.part("common");

    private final ManualTimers timers = new ManualTimers();
    private final CrashAttribution attribution = CrashAttribution.of(timers, CrashWeight.likelihoodRatio(200));
    private int attempts;

    private Suspect suspect(String... traits) {
        int number = attempts++;
        List<String> all = new ArrayList<>(List.of(traits));
        all.add(Suspect.request("fingerprint" + number));
        return new Suspect("vm-" + number, Set.copyOf(all));
    }

    private void start(String trait, int times) {
        for (int i = 0; i < times; i++) {
            attribution.onStarted(Set.of(trait));
        }
    }

    @Test
    void blocksAPartAfterTwoCrashesOfRequestsThatShareNothingElse() {
        start(COMMON, 100);
        attribution.onCrash("a@1", List.of(suspect(BAD)));
        assertThat(attribution.isBlocked(Set.of(BAD))).isFalse();
        attribution.onCrash("b@1", List.of(suspect(BAD)));

        assertThat(attribution.isBlocked(Set.of(BAD, "request:new"))).isTrue();
    }

    @Test
    void doesNotBlockAPartOfRequestsThatHaveBeenAnsweredSince() {
        start(COMMON, 100);
        attribution.onCrash("a@1", List.of(suspect(COMMON, BAD)));
        attribution.onCrash("b@1", List.of(suspect(COMMON, BAD)));

        assertThat(attribution.isBlocked(Set.of(COMMON))).isFalse();
        assertThat(attribution.isBlocked(Set.of(COMMON, BAD))).isTrue();
    }

    @Test
    void blocksPartsThatItCannotTellApartOnlyTogether() {
        Suspect first = suspect(BAD, "part:new");
        Suspect second = suspect(BAD, "part:new");
        start(COMMON, 100);
        attribution.onCrash("a@1", List.of(first));
        attribution.onCrash("b@1", List.of(second));

        assertThat(attribution.isBlocked(Set.of("part:new"))).isFalse();
        assertThat(attribution.isBlocked(Set.of(BAD))).isFalse();
        assertThat(attribution.isBlocked(Set.of(BAD, "part:new"))).isTrue();
        attribution.onStarted(Set.of("part:new"));
        assertThat(attribution.isBlocked(Set.of(BAD))).isTrue();
    }

    @Test
    void blocksACommonPartThatHasBegunToCrashTargetsAfterMoreCrashes() {
        start(Suspect.part("other"), 900);
        start(COMMON, 100);
        int crashes = 0;
        while (!attribution.isBlocked(Set.of(COMMON)) && crashes < 10) {
            attribution.onCrash("a@" + crashes++, List.of(suspect(COMMON)));
        }

        assertThat(crashes).isIn(List.of(3, 4));
    }

    @Test
    void countsARequestOnceThatPassedThroughSeveralCrashedEngines() {
        start(COMMON, 100);
        Suspect suspect = suspect(BAD);
        for (String engine : List.of("a@1", "b@1", "c@1")) {
            attribution.onCrash(engine, List.of(suspect));
        }

        assertThat(attribution.hasBlocked()).isFalse();
    }

    @Test
    void blocksOnlyTheRequestWhenTheSameOneHasCrashedTargets() {
        start(COMMON, 100);
        Set<String> traits = Set.of(BAD, Suspect.request("same"));
        attribution.onCrash("a@1", List.of(new Suspect("vm-x", traits)));
        attribution.onCrash("b@1", List.of(new Suspect("vm-y", traits)));

        assertThat(attribution.isBlocked(traits)).isTrue();
        assertThat(attribution.isBlocked(Set.of(BAD, Suspect.request("other")))).isFalse();
    }

    @Test
    void addsUpTheReportsOfSeveralDaemonsAboutOneCrash() {
        start(COMMON, 100);
        attribution.onCrash("a@1", List.of(suspect(BAD)));
        attribution.onCrash("a@1", List.of(suspect(BAD)));
        assertThat(attribution.hasBlocked()).isFalse();
        attribution.onCrash("b@1", List.of(suspect(BAD)));

        assertThat(attribution.isBlocked(Set.of(BAD))).isTrue();
    }

    @Test
    void unblocksAPartThatAnotherDaemonHasCleared() {
        start(COMMON, 100);
        attribution.onCrash("a@1", List.of(suspect(BAD)));
        attribution.onCrash("b@1", List.of(suspect(BAD)));
        attribution.onCleared(BAD, List.of("a@1", "b@1"));

        assertThat(attribution.hasBlocked()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 5})
    void allowsATrialLaterAfterEachFurtherCrash(int crashes) {
        start(COMMON, 100);
        for (int i = 0; i < crashes; i++) {
            attribution.onCrash("a@" + i, List.of(suspect(BAD)));
        }
        long delay = 20_000 * (long) Math.pow(3, crashes - 2);
        timers.advance(delay - 1);
        assertThat(attribution.dueTrial(Set.of(BAD))).isEmpty();
        assertThat(attribution.millisToTrial(Set.of(BAD))).isEqualTo(1);
        timers.advance(1);

        assertThat(attribution.dueTrial(Set.of(BAD)).orElseThrow().crashes()).isEqualTo(crashes);
    }

    @Test
    void allowsNoTrialAfterSixCrashes() {
        start(COMMON, 100);
        for (int i = 0; i < 6; i++) {
            attribution.onCrash("a@" + i, List.of(suspect(BAD)));
        }
        timers.advance(CrashAttribution.CRASH_TTL_MS - 1);

        assertThat(attribution.isBlocked(Set.of(BAD))).isTrue();
        assertThat(attribution.dueTrial(Set.of(BAD))).isEmpty();
    }

    @Test
    void forgetsCrashesAfterTheirTimeToLive() {
        start(COMMON, 100);
        attribution.onCrash("a@1", List.of(suspect(BAD)));
        attribution.onCrash("b@1", List.of(suspect(BAD)));
        timers.advance(CrashAttribution.CRASH_TTL_MS);
        attribution.onCrash("c@1", List.of(suspect(COMMON)));

        assertThat(attribution.hasBlocked()).isFalse();
    }

    // Guards against blocking a request that was running beside the one that crashes targets.
    @Test
    void tellsTheRequestThatCrashesTargetsFromOneThatIsAnsweredBesides() {
        Suspect deadly = request("deadly");
        Suspect popular = request("popular");
        attribution.onCrash("a@1", List.of(deadly, popular));
        attribution.onCrash("b@1", List.of(request("deadly"), request("popular")));
        assertThat(attribution.isBlocked(popular.traits())).isFalse();
        attribution.onStarted(popular.traits());

        assertThat(attribution.isBlocked(deadly.traits())).isTrue();
        assertThat(attribution.isBlocked(popular.traits())).isFalse();
    }

    // Guards against two requests that always run together, of which neither would ever be blocked.
    @Test
    void blocksRequestsThatItCannotTellApartAfterThreeCrashes() {
        for (String target : List.of("a@1", "b@1", "c@1")) {
            attribution.onCrash(target, List.of(request("deadly"), request("companion")));
        }

        assertThat(attribution.isBlocked(request("deadly").traits())).isTrue();
    }

    // Guards against a request on full targets that is not blocked because so many others ran beside it.
    @Test
    void blocksARequestAfterTwoCrashesOfFullTargetsInADaemonThatHasJustStarted() {
        for (String target : List.of("a@1", "b@1")) {
            List<Suspect> running = new ArrayList<>();
            running.add(request("deadly"));
            for (int i = 1; i < 134; i++) {
                running.add(suspect());
            }
            attribution.onCrash(target, running);
        }

        assertThat(attribution.isBlocked(request("deadly").traits())).isTrue();
    }

    // Guards against other daemons that block a request which this one has seen to run well between two crashes.
    @Test
    void tellsOthersOfSoundEndsOnceARequestIsSuspectedAgain() {
        Suspect popular = request("popular");
        assertThat(attribution.onCrash("a@1", List.of(popular))).isEmpty();
        assertThat(attribution.onStarted(popular.traits())).isEmpty();

        assertThat(attribution.onCrash("b@1", List.of(request("popular"))))
                .containsExactly("request:popular", Set.of("a@1"));
    }

    // Guards against blame for a target that was only silent.
    @Test
    void accusesNothingOfAnInstanceThatLivesOn() {
        attribution.onCrash("a@1", List.of(request("sound")));
        attribution.onCrash("b@1", List.of(request("sound")));
        attribution.onSurvived("b@1");
        assertThat(attribution.isBlocked(request("sound").traits())).isFalse();
        attribution.onCrash("b@1", List.of(request("sound")));

        assertThat(attribution.isBlocked(request("sound").traits())).isFalse();
    }

    // Guards against a request that is never blocked because its targets were once silent and went on.
    @Test
    void countsTheCrashOfAnInstanceThatHadLivedOnBefore() {
        attribution.onSurvived("a@1");
        timers.advance(CrashAttribution.LATE_REPORT_MS);
        attribution.onCrash("a@1", List.of(request("deadly")));
        attribution.onCrash("b@1", List.of(request("deadly")));

        assertThat(attribution.isBlocked(request("deadly").traits())).isTrue();
    }

    // Guards against a request that was blocked by mistake and never tried, and against one that crashes targets by
    // trials.
    @Test
    void triesABlockedRequestOnce() {
        Suspect deadly = request("deadly");
        attribution.onCrash("a@1", List.of(deadly));
        attribution.onCrash("b@1", List.of(request("deadly")));
        assertThat(attribution.dueTrial(deadly.traits())).isEmpty();
        timers.advance(attribution.millisToTrial(deadly.traits()));
        assertThat(attribution.dueTrial(deadly.traits())).isPresent();
        attribution.onCrash("c@1", List.of(request("deadly")));
        timers.advance(CrashAttribution.CRASH_TTL_MS / 2);

        assertThat(attribution.dueTrial(deadly.traits())).isEmpty();
    }

    private Suspect request(String fingerprint) {
        return new Suspect("vm-" + attempts++, Set.of(Suspect.request(fingerprint)));
    }
}
