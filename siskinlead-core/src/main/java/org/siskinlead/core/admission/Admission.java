package org.siskinlead.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.catalog.Team;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** Levels, send windows and counters of all services. */
public final class Admission {
    /** Number of daemons up to which a service whose routes have one priority is served as a single daemon serves it. */
    private static final int MAX_FEW_DAEMONS = 8;

    private final Timers timers;
    private final Timeline timeline;
    private final IntSupplier daemonCount;
    private final RandomGenerator random;
    private final AdmissionCounters counters = new AdmissionCounters();
    private final Map<String, SendWindow> windows = new HashMap<>();
    private PriorityLevels levels = PriorityLevels.none();

    private Admission(Timers timers, Timeline timeline, IntSupplier daemonCount, RandomGenerator random) {
        this.random = random;
        this.timers = timers;
        this.timeline = timeline;
        this.daemonCount = daemonCount;
    }

    /**
     * Creates the admission of a daemon, without a catalog.
     * @param timers clock
     * @param timeline receives the changes of windows
     * @param daemonCount number of serving daemons
     * @param random source of the times at which windows let requests pass
     * @return the admission
     */
    public static Admission of(Timers timers, Timeline timeline, IntSupplier daemonCount, RandomGenerator random) {
        return new Admission(timers, timeline, daemonCount, random);
    }

    // Queries

    /**
     * Gets the level of a request.
     * @param service name of the service that it is sent to
     * @param route route that it matches
     * @param team team of its caller, null when the route requires no key
     * @return the level, 0 for the most urgent one
     */
    public int levelOf(String service, Route route, @Nullable Team team) {
        return levels.levelOf(service, route, team);
    }

    /**
     * Tells whether the fleet is so large that a daemon's own requests say little about the whole load.
     * @return true with more than 8 daemons
     */
    public boolean isLargeFleet() {
        return daemonCount.getAsInt() > MAX_FEW_DAEMONS;
    }

    /**
     * Gets the counters by level and team.
     * @return the counters
     */
    public AdmissionCounters counters() {
        return counters;
    }

    /**
     * Gets the send window of a service.
     * @param service the service
     * @return its window, null for a service without engines, or whose routes do not differ in priority
     */
    public @Nullable SendWindow windowOf(Service service) {
        boolean isLimited = service.engine() != null && levels.differ(service.name());
        return isLimited ? windows.computeIfAbsent(service.name(), this::newWindow) : null;
    }

    /**
     * Tells whether the requests to a service are limited now.
     * @param service the service
     * @return true while its window has a limit
     */
    public boolean isLimiting(Service service) {
        SendWindow window = windowOf(service);
        return window != null && window.isLimiting();
    }

    /**
     * Gets the level of the requests to a service that is limited now.
     * @param service the service
     * @return the level, -1 when none is
     */
    public int limitedLevel(Service service) {
        SendWindow window = windowOf(service);
        return window != null && window.isLimiting() ? window.marginalLevel() : -1;
    }

    // Commands

    /**
     * Decides whether a request may be sent now; one that may not is taken to wait.
     * @param service service to which it is sent
     * @param level its level, or {@link SendWindow#BEGUN}
     * @return true unless the window of the service has no room for it
     */
    public boolean allows(Service service, int level) {
        SendWindow window = windowOf(service);
        return window == null || window.allows(level);
    }

    /**
     * Puts the priorities of a catalog in force.
     * @param catalog the catalog
     */
    public void onCatalog(Catalog catalog) {
        levels = PriorityLevels.of(catalog);
    }

    private SendWindow newWindow(String service) {
        return SendWindow.of(timers, random, this::isLargeFleet, new SendWindow.Listener() {
            @Override
            public void onCut(int level, double limit) {
                timeline.record(EventKind.SEND_WINDOW_CUT, "service", service, "level", level, "limit", limit);
            }

            @Override
            public void onRemoved() {
                timeline.record(EventKind.SEND_WINDOW_REMOVED, "service", service);
            }
        });
    }
}
