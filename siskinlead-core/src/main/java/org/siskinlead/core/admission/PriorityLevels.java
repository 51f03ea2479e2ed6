package org.siskinlead.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.catalog.Team;

/**
 * Priority levels of the requests to each service, 0 is the most urgent. Where the routes of a service differ in
 * priority, the pairs of team and route priority that occur in the catalog are numbered in order: by the team's priority,
 * or the route's where the team has none, then by the route's. Elsewhere the level is the priority itself.
 */
public final class PriorityLevels {
    private final Map<String, List<Rank>> ranksByService = new HashMap<>();

    private PriorityLevels() {}

    private record Rank(int first, int route) implements Comparable<Rank> {
        private static final Comparator<Rank> ORDER =
                Comparator.comparingInt(Rank::first).thenComparingInt(Rank::route);

        static Rank of(Route route, @Nullable Team team) {
            Integer teamPriority = team == null ? null : team.priority();
            return new Rank(teamPriority == null ? route.priority() : teamPriority, route.priority());
        }

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * Creates levels that are the priorities themselves, for the time before a catalog is in force.
     * @return levels without services
     */
    public static PriorityLevels none() {
        return new PriorityLevels();
    }

    /**
     * Numbers the levels of a catalog.
     * @param catalog the catalog
     * @return levels of all its services
     */
    public static PriorityLevels of(Catalog catalog) {
        PriorityLevels levels = new PriorityLevels();
        for (Service service : catalog.services()) {
            List<Route> routes = catalog.routes().stream()
                    .filter(r -> r.services().stream().anyMatch(s -> s.service().equals(service.name())))
                    .toList();
            if (routes.stream().mapToInt(Route::priority).distinct().count() > 1) {
                TreeSet<Rank> ranks = new TreeSet<>();
                routes.forEach(route -> {
                    if (catalog.requiresKey(route)) {
                        catalog.teams().forEach(team -> ranks.add(Rank.of(route, team)));
                    } else {
                        ranks.add(Rank.of(route, null));
                    }
                });
                levels.ranksByService.put(service.name(), new ArrayList<>(ranks));
            }
        }
        return levels;
    }

    /**
     * Tells whether the routes of a service differ in priority.
     * @param service name of the service
     * @return true if its levels are numbered
     */
    public boolean differ(String service) {
        return ranksByService.containsKey(service);
    }

    /**
     * Gets the level of a request.
     * @param service name of the service that it is sent to
     * @param route route that it matches
     * @param team team of its caller, null when the route requires no key
     * @return the level, 0 for the most urgent one
     */
    public int levelOf(String service, Route route, @Nullable Team team) {
        Rank rank = Rank.of(route, team);
        return Optional.ofNullable(ranksByService.get(service))
                .map(ranks ->
                        (int) ranks.stream().filter(r -> r.compareTo(rank) < 0).count())
                .orElse(rank.first());
    }
}
