package org.siskinlead.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TeamDocumentTest {
    private final TeamDocument document = TeamDocument.of(template(1, 100));

    @Test
    void bringsAValueIntoForceWithMoreThanHalfOfTheMembers() {
        TeamDocument one = document.withVote(vote("a", 1, 10));
        TeamDocument split = one.withVote(vote("b", 1, 20));
        TeamDocument agreed = split.withVote(vote("c", 1, 20));

        assertThat(one.hasAllValues()).isFalse();
        assertThat(split.hasAllValues()).isFalse();
        assertThat(agreed.value(Parameter.MAX_CONCURRENT, 0)).isEqualTo(20);
    }

    @Test
    void keepsTheValueInForceUntilAnotherHasAMajority() {
        TeamDocument agreed = document.withVote(vote("a", 1, 10)).withVote(vote("b", 1, 10));

        TeamDocument afterChangedVote = agreed.withVote(vote("a", 1, 30));

        assertThat(afterChangedVote.value(Parameter.MAX_CONCURRENT, 0)).isEqualTo(10);
    }

    @Test
    void refusesVotesOutOfBoundsFromNonMembersAndOnOldTemplates() {
        TeamDocument republished = document.withTemplate(template(1, 50));

        assertCode(ConfigurationException.Code.INVALID_VOTE, () -> document.withVote(vote("a", 1, 101)));
        assertCode(ConfigurationException.Code.INVALID_VOTE, () -> document.withVote(vote("z", 1, 10)));
        assertCode(ConfigurationException.Code.REVISION_CONFLICT, () -> republished.withVote(vote("a", 1, 10)));
    }

    @Test
    void refusesATemplateThatExcludesAValueInForce() {
        TeamDocument agreed = document.withVote(vote("a", 1, 10)).withVote(vote("b", 1, 10));

        assertCode(ConfigurationException.Code.INVALID_TEMPLATE, () -> agreed.withTemplate(template(11, 100)));
    }

    private static void assertCode(ConfigurationException.Code code, Runnable task) {
        ConfigurationException thrown = assertThrows(ConfigurationException.class, task::run);
        assertThat(thrown.code()).isEqualTo(code);
    }

    private static Vote vote(String member, long templateRevision, long value) {
        return new Vote(
                "t",
                member,
                templateRevision,
                Map.of(Parameter.MAX_CONCURRENT, value, Parameter.REQUESTS_PER_SECOND, 5L, Parameter.PRIORITY, 5L));
    }

    private static Template template(long min, long max) {
        Map<Parameter, Bounds> bounds = Map.of(
                Parameter.MAX_CONCURRENT,
                new Bounds(min, max),
                Parameter.REQUESTS_PER_SECOND,
                new Bounds(1, 100),
                Parameter.PRIORITY,
                new Bounds(0, 9));
        return new Template("t", List.of("a", "b", "c"), "0".repeat(64), Map.of(), List.of(), List.of(), bounds);
    }
}
