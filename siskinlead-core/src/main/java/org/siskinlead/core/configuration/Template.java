package org.siskinlead.core.configuration;

import java.util.List;
import java.util.Map;

/**
 * Configuration that operators publish for a team.
 * @param team name of the team
 * @param members organizations that vote on the parameters
 * @param credentialSha256 SHA-256 hash of the team's bearer credential, in hexadecimal
 * @param models version of each model that the team may use, by model name
 * @param services names of the plain services that the team may call
 * @param repeatable idempotent operations, which may be retried, as {@code service/operation}
 * @param bounds range in which members may vote on each parameter
 */
public record Template(
        String team,
        List<String> members,
        String credentialSha256,
        Map<String, String> models,
        List<String> services,
        List<String> repeatable,
        Map<Parameter, Bounds> bounds) {}
