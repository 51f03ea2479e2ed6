package org.siskinlead.core.admission;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts requests by level and by team. Not thread-safe: used on the decision thread only. */
public final class AdmissionCounters {
    /** Levels with counters of their own; less urgent ones are counted with the last. */
    private static final int MAX_LEVELS = 10;
    /** Teams with counters of their own; others are counted together, so that a catalog cannot grow the metrics. */
    private static final int MAX_TEAMS = 64;

    private static final String OTHER_TEAMS = "other";

    /** Counted events of a request. */
    public enum Step {
        /** Sent to a target, each time. */
        SENT,
        /** Queued for capacity. */
        WAITED,
        /** Refused by this daemon without having run. */
        REFUSED,
        /** Refused by a target for lack of capacity, each time. */
        REFUSED_BY_TARGET
    }

    private final Map<String, Long> counts = new TreeMap<>();
    private final Map<String, String> teamNames = new HashMap<>();

    /**
     * Counts an event.
     * @param step the event
     * @param level level of the request
     * @param team team of its caller, empty for none
     */
    public void increment(Step step, int level, String team) {
        String name = step.name().toLowerCase(Locale.ROOT);
        counts.merge("admission.level_" + Math.min(level, MAX_LEVELS - 1) + "." + name, 1L, Long::sum);
        if (!team.isEmpty()) {
            counts.merge("admission.team_" + nameOf(team) + "." + name, 1L, Long::sum);
        }
    }

    /**
     * Lists the counts that are not zero.
     * @return values by metric name
     */
    public Map<String, Long> values() {
        return new TreeMap<>(counts);
    }

    private String nameOf(String team) {
        String known = teamNames.get(team);
        if (known == null && teamNames.size() < MAX_TEAMS) {
            // Spaces and line ends would break the lines of the metrics.
            String safe = team.replaceAll("[^A-Za-z0-9_-]", "_");
            teamNames.put(team, safe);
            return safe;
        }
        return known == null ? OTHER_TEAMS : known;
    }
}
