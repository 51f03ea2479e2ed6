package org.siskinlead.core.gateway;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.forwarding.Forwarder;
import org.siskinlead.core.forwarding.RetryShare;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.placement.LayerOrders;
import org.siskinlead.core.placement.LayerPlacer;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.roster.Roster;
import org.siskinlead.core.roster.RosterEntry;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** A daemon that forwards requests by routes: its parts, its readiness and its graceful stop. */
public final class Gateway {
    /** Part of the grace period after which what still runs is cut, to end before the process is killed. */
    private static final double CUT_SHARE = 0.95;
    /** Least time for which a stopping daemon serves callers that keep its address. */
    private static final long LEAST_DRAIN_MS = 3_000;

    private static final long DRAIN_POLL_MS = 50;
    /** Multiplier that spreads similar texts over all integers; 2^32 over the golden ratio. */
    private static final int SPREAD = 0x9E37_79B9;

    private final RosterEntry self;
    private final Timers timers;
    private final Timeline timeline;
    private final Freshness freshness;
    private final TargetRegistry registry;
    private final Roster roster;
    private final Forwarder forwarder;
    private Consumer<Catalog> catalogListener = catalog -> {};
    private boolean listening;
    private boolean draining;
    private boolean storeLost = true;

    /**
     * Ways from a gateway to the world outside.
     * @param timers time
     * @param store the platform's store
     * @param link way to the targets
     * @param orders way to give engines orders
     * @param renewProof asks the store at once whether the catalog is the newest
     * @param random source of randomness
     */
    public record Ports(
            Timers timers,
            LeaseStore store,
            TargetLink link,
            LayerOrders orders,
            Runnable renewProof,
            RandomGenerator random) {}

    /**
     * Bounds that the deployment sets.
     * @param freshMillis age at which a proof that the catalog is recent ends, in milliseconds
     * @param retries retries that all daemons together may send to a service
     */
    public record Bounds(long freshMillis, RetryShare.Budget retries) {}

    private Gateway(RosterEntry self, Ports ports, Bounds bounds, Timeline timeline) {
        this.self = self;
        this.timers = ports.timers();
        this.timeline = timeline;
        this.freshness = Freshness.of(timers, bounds.freshMillis());
        this.registry = TargetRegistry.of(timers, timeline);
        this.roster = Roster.start(self, ports.store(), timers, timeline);
        this.forwarder = Forwarder.of(
                timers,
                timeline,
                registry,
                ports.link(),
                freshness,
                ports.renewProof(),
                bounds.retries(),
                roster::size,
                ports.random());
        forwarder.setDownNotices(roster::publishDown);
        roster.setDownListener((life, fingerprints, seen) -> {
            if (seen == Roster.Discovery.CHANGED) {
                forwarder.onDownNotice(life, fingerprints);
            } else {
                forwarder.onCrash(life, fingerprints);
            }
        });
        LayerPlacer.start(
                () -> forwarder.catalog().orElse(null),
                registry,
                ports.link(),
                ports.orders(),
                roster::mayIssueOrders,
                timers,
                timeline);
    }

    /**
     * Assembles and starts a gateway.
     * @param self this daemon
     * @param ports ways to the world outside
     * @param bounds bounds that the deployment sets
     * @param timeline where events go
     * @return the gateway
     */
    public static Gateway start(RosterEntry self, Ports ports, Bounds bounds, Timeline timeline) {
        return new Gateway(self, ports, bounds, timeline);
    }

    // Queries

    /**
     * Gets the part that forwards requests.
     * @return the forwarder
     */
    public Forwarder forwarder() {
        return forwarder;
    }

    /**
     * Gets the targets.
     * @return the registry
     */
    public TargetRegistry registry() {
        return registry;
    }

    /**
     * Gets the daemons that serve.
     * @return the roster
     */
    public Roster roster() {
        return roster;
    }

    /**
     * Tells whether callers should be sent here.
     * @return false before the first catalog, without a recent proof of it, and while stopping
     */
    public boolean isReady() {
        return listening && !draining && forwarder.catalog().isPresent() && freshness.isFresh();
    }

    /**
     * Tells whether this daemon stops.
     * @return true after the signal to stop
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Lists where callers should connect. While no daemon takes requests, a stopping one names itself: it still takes
     * what it can finish. Where not all can be listed, each caller gets its own part, the same at every daemon and for
     * as long as the roster stays, so that all daemons share the load and callers keep their connections.
     * @param caller what the caller calls us, and where it is
     * @param most addresses that may be listed, 1 or more
     * @return addresses of daemons that take requests; empty when this daemon cannot know
     */
    public List<String> entryAddresses(String caller, int most) {
        List<String> all = entryAddresses();
        if (all.size() <= most) {
            return all;
        }
        int first = ((caller.hashCode() * SPREAD) >>> Short.SIZE) % all.size();
        return IntStream.range(first, first + most)
                .mapToObj(i -> all.get(i % all.size()))
                .toList();
    }

    /**
     * Lists where callers should connect, without a bound.
     * @return addresses of daemons that take requests; empty when this daemon cannot know
     */
    public List<String> entryAddresses() {
        if (!freshness.isFresh()) {
            return List.of();
        }
        List<String> listed =
                roster.entries().stream().map(RosterEntry::address).toList();
        return listed.isEmpty() && draining ? List.of(self.address()) : listed;
    }

    // Commands

    /**
     * Puts a catalog in force.
     * @param catalog the catalog
     */
    public void onCatalog(Catalog catalog) {
        forwarder.onCatalog(catalog);
        forwarder.catalog().ifPresent(catalogListener);
        announceIfServing();
    }

    /**
     * Registers what follows the catalog in force.
     * @param listener receives the catalog after each change
     */
    public void followCatalog(Consumer<Catalog> listener) {
        catalogListener = listener;
    }

    /** Takes note that callers can connect. */
    public void onListening() {
        listening = true;
        announceIfServing();
    }

    private void announceIfServing() {
        if (listening && !draining && forwarder.catalog().isPresent()) {
            roster.announce();
        }
    }

    /**
     * Takes note that the store has confirmed all that was read from it.
     * @param sent when the confirming call was sent
     */
    public void onProof(Freshness.ClockReading sent) {
        freshness.recordProof(sent);
        if (storeLost) {
            storeLost = false;
            timeline.record(EventKind.STORE_REGAINED);
            registry.onStoreRegained();
            roster.onStoreRegained();
        }
        forwarder.onProof();
    }

    /**
     * Takes note that the store does not answer.
     * @param reason what was seen
     */
    public void onStoreLost(String reason) {
        if (!storeLost) {
            storeLost = true;
            timeline.record(EventKind.STORE_LOST, "reason", reason, "proofAgeMs", freshness.ageMillis());
            registry.onStoreLost();
            roster.onStoreLost();
        }
    }

    /**
     * Stops gracefully: leaves the roster at once, goes on with what runs, and cuts what is left just before the end.
     * @param graceMillis time until the process is killed, in milliseconds
     * @param onDone runs when nothing is left
     */
    public void drain(long graceMillis, Runnable onDone) {
        if (draining) {
            return;
        }
        draining = true;
        timeline.record(EventKind.DRAIN_BEGUN, "inFlight", forwarder.inFlight(), "graceMs", graceMillis);
        roster.leave();
        forwarder.closeAt(timers.nowMillis() + Math.round(CUT_SHARE * graceMillis));
        pollDrain(timers.nowMillis(), graceMillis, onDone);
    }

    private void pollDrain(long begun, long graceMillis, Runnable onDone) {
        long elapsed = timers.nowMillis() - begun;
        boolean idle = forwarder.inFlight() == 0 && elapsed >= LEAST_DRAIN_MS;
        if (!idle && elapsed < CUT_SHARE * graceMillis) {
            timers.after(DRAIN_POLL_MS, () -> pollDrain(begun, graceMillis, onDone));
            return;
        }
        timeline.record(EventKind.DRAIN_DONE, "tookMs", elapsed, "cut", forwarder.inFlight());
        forwarder.cutAll("this daemon stopped");
        onDone.run();
    }
}
