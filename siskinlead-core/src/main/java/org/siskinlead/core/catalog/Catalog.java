package org.siskinlead.core.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the operator's configuration. */
public final class Catalog {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, Team> teamsByKey = new HashMap<>();
    private final boolean hasTeams;
    private final CallerLimits limits;

    private Catalog(
            long version,
            Collection<Route> routes,
            Collection<Service> services,
            Collection<Team> teams,
            CallerLimits limits) {
        this.version = version;
        this.limits = limits;
        this.hasTeams = !teams.isEmpty();
        routes.forEach(r ->
                routesByHost.computeIfAbsent(r.host(), h -> new ArrayList<>()).add(r));
        routesByHost
                .values()
                .forEach(list -> list.sort(
                        Comparator.comparingInt((Route r) -> r.prefix().length())
                                .reversed()));
        services.forEach(s -> this.services.put(s.name(), s));
        teams.forEach(t -> t.keys().forEach(key -> teamsByKey.put(key, t)));
    }

    /**
     * Creates a catalog.
     * @param version its version
     * @param routes where requests go
     * @param services what targets offer
     * @param teams who may send requests; empty when no keys are asked for
     * @param limits bounds on what callers may send
     * @return the catalog
     */
    public static Catalog of(
            long version,
            Collection<Route> routes,
            Collection<Service> services,
            Collection<Team> teams,
            CallerLimits limits) {
        return new Catalog(version, routes, services, teams, limits);
    }

    /**
     * Gets the version.
     * @return a number that grows with each change
     */
    public long version() {
        return version;
    }

    /**
     * Gets the bounds on what callers may send.
     * @return the bounds
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Finds the route with the longest prefix that begins a path.
     * @param host host as the caller sent it, with or without a port
     * @param path path without the query
     * @return the route
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
     * Finds a service.
     * @param name its name
     * @return the service
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Lists the services.
     * @return all services
     */
    public Collection<Service> services() {
        return services.values();
    }

    /**
     * Tells whether a route asks its callers for a key.
     * @param route the route
     * @return true when there are teams and the route is not open
     */
    public boolean requiresKey(Route route) {
        return hasTeams && !route.anonymous();
    }

    /**
     * Finds the team that holds a key.
     * @param key the key
     * @return the team
     */
    public Optional<Team> findTeamByKey(String key) {
        return Optional.ofNullable(teamsByKey.get(key));
    }
}
