package org.siskinlead.core.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Immutable snapshot of the operator's configuration, indexed for request routing. */
public final class Catalog {
    /** The comparators of the JDK's factory methods cannot be archived and are generated at each start. */
    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            (a, b) -> Integer.compare(b.prefix().length(), a.prefix().length());

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, Team> teamsByKey = new HashMap<>();
    private final List<Team> teams;
    private final boolean hasTeams;
    private final CallerLimits limits;

    private Catalog(
            long version,
            Collection<Route> routes,
            Collection<Service> services,
            @Nullable Collection<Team> teams,
            CallerLimits limits) {
        this.version = version;
        this.limits = limits;
        this.hasTeams = teams != null;
        routes.forEach(r ->
                routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r));
        routesByHost.values().forEach(list -> list.sort(LONGEST_PREFIX_FIRST));
        services.forEach(s -> this.services.put(s.name(), s));
        this.teams = teams == null ? List.of() : List.copyOf(teams);
        this.teams.forEach(t -> t.keys().forEach(key -> teamsByKey.put(key, t)));
    }

    /**
     * Creates a catalog.
     * @param version number that increases with each change
     * @param routes routes in any order; the longest matching prefix of a host wins
     * @param services services that routes refer to
     * @param teams teams that may send requests, none if empty; if null, no route requires a key
     * @param limits limits on requests from callers
     * @return the catalog
     */
    public static Catalog of(
            long version,
            Collection<Route> routes,
            Collection<Service> services,
            @Nullable Collection<Team> teams,
            CallerLimits limits) {
        return new Catalog(version, routes, services, teams, limits);
    }

    /**
     * Gets the configuration version.
     * @return a number that increases with each change
     */
    public long version() {
        return version;
    }

    /**
     * Gets the limits on requests from callers.
     * @return size and time limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Finds the route of a host whose prefix is the longest match for a path.
     * @param host value of the Host header, with or without a port; matched without regard to case
     * @param path path without the query
     * @return the route, empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (Route route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Lists the routes.
     * @return all configured routes, in no particular order
     */
    public Collection<Route> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Lists the teams.
     * @return all configured teams, none when no route requires a key
     */
    public Collection<Team> teams() {
        return teams;
    }

    /**
     * Finds a service by name.
     * @param name name of the service
     * @return the service, empty if it is not configured
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Lists the services.
     * @return all configured services, in no particular order
     */
    public Collection<Service> services() {
        return services.values();
    }

    /**
     * Checks whether requests of a route must carry an API key.
     * @param route route of this catalog
     * @return true if there is a list of teams, even an empty one, and the route does not allow anonymous requests
     */
    public boolean requiresKey(Route route) {
        return hasTeams && !route.anonymous();
    }

    /**
     * Finds the team that an API key belongs to.
     * @param key API key as the caller sent it
     * @return the team, empty if the key is unknown
     */
    public Optional<Team> findTeamByKey(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }
}
