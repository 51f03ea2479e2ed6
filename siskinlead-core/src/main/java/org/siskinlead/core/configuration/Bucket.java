package org.siskinlead.core.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Immutable document with the teams of one bucket.
 * @param teams teams by name
 */
public record Bucket(Map<String, TeamDocument> teams) {
    /** Number of buckets that teams are spread over. */
    public static final int COUNT = 64;

    /** Bucket without teams. */
    public static final Bucket EMPTY = new Bucket(Map.of());

    /**
     * Names the bucket of a team.
     * @param team name of the team
     * @return name of its bucket
     */
    public static String nameForTeam(String team) {
        return Integer.toString(Math.floorMod(team.hashCode(), COUNT));
    }

    /**
     * Finds a team.
     * @param team name of the team
     * @return its document, if any
     */
    public Optional<TeamDocument> team(String team) {
        return Optional.ofNullable(teams.get(team));
    }

    /**
     * Replaces a team's document.
     * @param document the new document
     * @return the changed bucket
     */
    public Bucket with(TeamDocument document) {
        Map<String, TeamDocument> next = new TreeMap<>(teams);
        next.put(document.template().team(), document);
        return new Bucket(next);
    }
}
