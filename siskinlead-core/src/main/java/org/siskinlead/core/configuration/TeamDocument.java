package org.siskinlead.core.configuration;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.siskinlead.core.configuration.ConfigurationException.Code;

/**
 * A team's template, the votes on it and the values in force.
 * @param revision increases by one with each change to the team
 * @param templateRevision revision at which the template was last published
 * @param template the template
 * @param votes latest vote of each member on this template
 * @param accepted value in force of each parameter for which a majority of the members has agreed on one
 */
public record TeamDocument(
        long revision,
        long templateRevision,
        Template template,
        Map<String, Map<Parameter, Long>> votes,
        Map<Parameter, Long> accepted) {
    /**
     * Creates the document of a new team.
     * @param template first template of the team
     * @return the document at revision 1
     * @throws ConfigurationException when the template is invalid
     */
    public static TeamDocument of(Template template) {
        validate(template);
        return new TeamDocument(1, 1, template, Map.of(), Map.of());
    }

    /**
     * Copies the document with a new template; values in force stay, votes are dropped.
     * @param next template that replaces the current one
     * @return the copy
     * @throws ConfigurationException when the template is invalid or excludes a value in force
     */
    public TeamDocument withTemplate(Template next) {
        validate(next);
        accepted.forEach((parameter, value) -> {
            Bounds bounds = next.bounds().get(parameter);
            if (bounds == null || !bounds.allows(value)) {
                throw ConfigurationException.of(
                        Code.INVALID_TEMPLATE,
                        "template \"" + next.team() + "\" excludes " + parameter + "=" + value + ", which is in force");
            }
        });
        return new TeamDocument(revision + 1, revision + 1, next, Map.of(), accepted);
    }

    /**
     * Copies the document with a vote counted; a value agreed on by more than half of the members comes into force.
     * @param vote vote that replaces the member's earlier one
     * @return the copy
     * @throws ConfigurationException when the vote is invalid or refers to another template revision
     */
    public TeamDocument withVote(Vote vote) {
        if (vote.templateRevision() != templateRevision) {
            throw ConfigurationException.of(
                    Code.REVISION_CONFLICT,
                    "vote for \"" + vote.team() + "\" refers to template revision " + vote.templateRevision() + " but "
                            + templateRevision + " is current");
        }
        if (!template.members().contains(vote.member())) {
            throw ConfigurationException.of(
                    Code.INVALID_VOTE, "\"" + vote.member() + "\" is not a member of \"" + vote.team() + "\"");
        }
        vote.values().forEach(this::validateValue);
        Map<String, Map<Parameter, Long>> next = new TreeMap<>(votes);
        next.put(vote.member(), vote.values());
        return new TeamDocument(revision + 1, templateRevision, template, next, countVotes(next));
    }

    /**
     * Tells whether every parameter of the template has a value in force.
     * @return true when the team's requests may be served
     */
    public boolean hasAllValues() {
        return accepted.keySet().containsAll(template.bounds().keySet());
    }

    /**
     * Gets the value in force of a parameter.
     * @param parameter parameter to look up
     * @param defaultValue value to return when none is in force
     * @return the value, in the unit of the parameter
     */
    public long value(Parameter parameter, long defaultValue) {
        return accepted.getOrDefault(parameter, defaultValue);
    }

    private Map<Parameter, Long> countVotes(Map<String, Map<Parameter, Long>> votesByMember) {
        Map<Parameter, Long> result = new EnumMap<>(Parameter.class);
        result.putAll(accepted);
        for (Parameter parameter : template.bounds().keySet()) {
            Map<Long, Integer> memberCountByValue = new TreeMap<>();
            votesByMember.values().stream()
                    .filter(values -> values.containsKey(parameter))
                    .forEach(values -> memberCountByValue.merge(values.get(parameter), 1, Integer::sum));
            memberCountByValue.forEach((value, count) -> {
                if (2 * count > template.members().size()) {
                    result.put(parameter, value);
                }
            });
        }
        return result;
    }

    private void validateValue(Parameter parameter, long value) {
        Bounds bounds = template.bounds().get(parameter);
        if (bounds == null || !bounds.allows(value)) {
            throw ConfigurationException.of(
                    Code.INVALID_VOTE,
                    "value " + value + " of " + parameter + " is outside the bounds of template \"" + template.team()
                            + "\"");
        }
    }

    private static void validate(Template template) {
        if (template.team().isBlank() || template.members().isEmpty()) {
            throw ConfigurationException.of(
                    Code.INVALID_TEMPLATE,
                    "template of team \"" + template.team() + "\" must have a team name and at least one member");
        }
        template.bounds().forEach((parameter, bounds) -> {
            if (bounds.min() < 0 || bounds.min() > bounds.max()) {
                throw ConfigurationException.of(
                        Code.INVALID_TEMPLATE,
                        "bounds " + bounds.min() + ".." + bounds.max() + " of " + parameter + " in template \""
                                + template.team() + "\" are not a range of non-negative values");
            }
        });
        for (Parameter parameter : Parameter.values()) {
            if (!template.bounds().containsKey(parameter)) {
                throw ConfigurationException.of(
                        Code.INVALID_TEMPLATE, "template \"" + template.team() + "\" has no bounds for " + parameter);
            }
        }
    }
}
