package org.siskinlead.core.configuration;

import java.util.Map;

/**
 * A member's vote on the parameters of a template.
 * @param team name of the team
 * @param member organization that votes
 * @param templateRevision revision of the template that the vote refers to
 * @param values value that the member votes for, by parameter
 */
public record Vote(String team, String member, long templateRevision, Map<Parameter, Long> values) {}
