package org.siskinlead.core.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Immutable configuration document that holds the teams of one bucket.
 * @param teams teams by name
 */
public record Bucket(Map<String, TeamDocument> teams) {
    /** Number of buckets; a team belongs to the bucket given by the hash of its name. */
    public static final int COUNT = 64;

    /** Bucket without teams. */
    public static final Bucket EMPTY = new Bucket(Map.of());

    /**
     * Gets the name of the bucket that holds a team.
     * @param team name of the team
     * @return name of its bucket, a number below {@link #COUNT}
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
     * Copies the bucket with a team's document added or replaced.
     * @param document document of the team that its template names
     * @return the copy
     */
    public Bucket with(TeamDocument document) {
        Map<String, TeamDocument> next = new TreeMap<>(teams);
        next.put(document.template().team(), document);
        return new Bucket(next);
    }
}
