package org.siskinlead.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Turns of teams within each level, by start-time fair queueing (Goyal, Vin and Cheng, 1996): the request with the lowest
 * start tag goes first. A team's next tag is the end of its last request in virtual time, in tokens, or the present if that
 * is later, so that a team is not charged for what it sent while no other team waited.
 */
public final class FairShares {
    private final Map<Integer, Level> levels = new HashMap<>();

    private FairShares() {}

    /**
     * Creates shares of which none has been used.
     * @return the shares
     */
    public static FairShares create() {
        return new FairShares();
    }

    private static final class Level {
        private double now;
        private final Map<String, Double> endByTeam = new HashMap<>();
    }

    /**
     * Gets the start tag of a team's next request.
     * @param level level of the request
     * @param team the team
     * @return virtual time, in tokens
     */
    public double startTag(int level, String team) {
        Level turns = levels.get(level);
        return turns == null ? 0 : Math.max(turns.now, turns.endByTeam.getOrDefault(team, 0.0));
    }

    /**
     * Records that a request was sent.
     * @param level its level
     * @param team team of its caller
     * @param tokens its work
     */
    public void onSent(int level, String team, double tokens) {
        Level turns = levels.computeIfAbsent(level, n -> new Level());
        double start = startTag(level, team);
        turns.now = Math.max(turns.now, start);
        turns.endByTeam.put(team, start + tokens);
        // Teams whose last request has ended in virtual time are as good as new ones.
        turns.endByTeam.values().removeIf(end -> end <= turns.now);
    }
}
