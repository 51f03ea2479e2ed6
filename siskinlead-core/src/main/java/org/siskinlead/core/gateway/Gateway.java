package org.siskinlead.core.gateway;

import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.crash.CrashReports;
import org.siskinlead.core.forwarding.Forwarder;
import org.siskinlead.core.forwarding.ForwardingCounters;
import org.siskinlead.core.forwarding.MeteredTargetLink;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.freshness.EraGuard;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.outage.StoreOutages;
import org.siskinlead.core.pacing.Pacing;
import org.siskinlead.core.placement.LayerOrderSender;
import org.siskinlead.core.placement.LayerPlacementController;
import org.siskinlead.core.platform.LeaseStore;
import org.siskinlead.core.ratelimit.RateLimitReports;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.retrybudget.TimedLeaseStore;
import org.siskinlead.core.roster.Roster;
import org.siskinlead.core.roster.RosterEntry;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/** Assembles a daemon that forwards requests by routes, and controls its readiness and graceful shutdown. */
public final class Gateway {
    /** Time before the end of the grace period that is left to send the last answers and end the process. */
    private static final long EXIT_MS = 400;
    /** Lifetimes of a directory answer for which some callers keep it, and so use the address of a draining daemon. */
    private static final int DIRECTORY_TTLS_KEPT = 3;

    private static final long DRAIN_POLL_INTERVAL_MS = 50;
    /** Lifetimes of a directory answer after which most callers know of a daemon that was listed; some keep it longer. */
    private static final int DIRECTORY_TTLS_UNTIL_KNOWN = 2;

    /**
     * Multiplier that distributes similar hash codes over all integers: 2^32 divided by the golden ratio (Knuth, The
     * Art of Computer Programming, section 6.4).
     */
    private static final int HASH_MULTIPLIER = 0x9E37_79B9;

    private final RosterEntry self;
    private final Timers timers;
    private final Timeline timeline;
    private final Freshness freshness;
    private final StoreOutages outages;
    private final TargetRegistry registry;
    private final Roster roster;
    private final Forwarder forwarder;
    private final EraGuard eraGuard;
    private final CrashReports crashReports;
    private final TargetRateLimits rateLimits;
    private final RateLimitReports rateLimitReports;
    private final RetryBudgetShare retryBudget;
    private final long knownToCallersMillis;
    private final long keptByCallersMillis;
    private Consumer<Catalog> catalogListener = catalog -> {};
    private boolean listening;
    private boolean draining;

    /**
     * Interfaces through which a gateway uses its environment.
     * @param timers clock and scheduler
     * @param store the platform's store
     * @param link sends requests to targets
     * @param orders sends layer orders to engines
     * @param renewProof asks the store immediately whether the catalog is the latest
     * @param random source of randomness
     */
    public record Ports(
            Timers timers,
            LeaseStore store,
            TargetLink link,
            LayerOrderSender orders,
            Runnable renewProof,
            RandomGenerator random) {}

    /**
     * Settings of the deployment.
     * @param maxProofAgeMillis age at which a proof that the catalog is recent expires, in milliseconds
     * @param retries limits on the retries that all daemons together may send to a service
     * @param eras settings for a store that was restored from an older snapshot
     * @param directoryTtlMillis time for which callers may keep an answer of the directory, in milliseconds
     * @param targetDrainMillis time within which requests may reach a target that is known to leave, in milliseconds
     * @param features decisions of large fleets that the deployment uses
     */
    public record Settings(
            long maxProofAgeMillis,
            RetryBudgetShare.Budget retries,
            EraGuard.Settings eras,
            long directoryTtlMillis,
            long targetDrainMillis,
            Set<FleetFeature> features) {
        private static final long DEFAULT_DIRECTORY_TTL_MS = 1_000;
        private static final long DEFAULT_TARGET_DRAIN_MS = 2_000;

        /** Creates settings of a daemon that starts later than the whole system. */
        public Settings(long maxProofAgeMillis, RetryBudgetShare.Budget retries) {
            this(
                    maxProofAgeMillis,
                    retries,
                    new EraGuard.Settings(maxProofAgeMillis, EraGuard.Start.LATER),
                    DEFAULT_DIRECTORY_TTL_MS,
                    DEFAULT_TARGET_DRAIN_MS,
                    EnumSet.allOf(FleetFeature.class));
        }
    }

    private Gateway(RosterEntry self, Ports ports, Settings settings, Timeline timeline) {
        this.self = self;
        this.timers = ports.timers();
        this.knownToCallersMillis = DIRECTORY_TTLS_UNTIL_KNOWN * settings.directoryTtlMillis();
        this.keptByCallersMillis = DIRECTORY_TTLS_KEPT * settings.directoryTtlMillis();
        this.timeline = timeline;
        this.freshness = Freshness.of(timers, settings.maxProofAgeMillis());
        this.outages = StoreOutages.untilFirstAnswer(timers);
        outages.addListener(new OutageRecorder(timeline, freshness));
        this.registry = TargetRegistry.of(timers, timeline, outages);
        registry.setDrainPeriod(settings.targetDrainMillis());
        TimedLeaseStore store = TimedLeaseStore.of(ports.store(), timers);
        this.roster = Roster.start(self, store, timers, timeline, outages);
        Supplier<Collection<String>> servingVms =
                () -> roster.entries().stream().map(RosterEntry::vm).toList();
        this.rateLimits = TargetRateLimits.of(self.vm(), servingVms, timers, timeline);
        if (settings.features().contains(FleetFeature.SLOW_START)) {
            registry.setPacing(Pacing.of(self.vm(), servingVms, timers, timeline));
        }
        this.rateLimitReports =
                RateLimitReports.of(rateLimits, store, timers, ports.random(), roster::size, registry::isRegistered);
        this.retryBudget = settings.features().contains(FleetFeature.RETRY_POOL)
                ? RetryBudgetShare.pooled(
                        settings.retries(),
                        roster::size,
                        timers,
                        new RetryBudgetShare.Ports(store, ports.random(), timeline, self.vm()))
                : RetryBudgetShare.of(settings.retries(), roster::size, timers);
        this.forwarder = Forwarder.of(
                timers,
                timeline,
                registry,
                ports.link(),
                rateLimits,
                freshness,
                ports.renewProof(),
                retryBudget,
                roster::size,
                ports.random());
        if (!settings.features().contains(FleetFeature.PATH_SHARES)) {
            forwarder.choosePathsByOwnLoad();
        }
        retryBudget.setListener(forwarder.counters().claimListener());
        this.eraGuard = EraGuard.of(
                store,
                timers,
                settings.eras(),
                () -> forwarder.catalog().map(Catalog::version).orElse(0L),
                this::rankOnRoster,
                ports.renewProof());
        this.crashReports = CrashReports.of(self.vm(), store, timers, ports.random(), roster::size);
        forwarder.setCrashReports(crashReports);
        forwarder.setOthersServe(this::othersServe, settings.directoryTtlMillis());
        forwarder.setDownNoticePublisher(roster::publishDown);
        roster.setDownListener((instanceId, fingerprints, discovery) -> {
            if (discovery == Roster.Discovery.CHANGED) {
                forwarder.onDownNotice(instanceId, fingerprints);
            } else {
                forwarder.onCrash(instanceId, fingerprints);
            }
        });
        LayerPlacementController.start(
                () -> forwarder.catalog().orElse(null),
                registry,
                MeteredTargetLink.of(ports.link(), rateLimits),
                (target, expectedOrderCount, layers, onAnswer) -> {
                    rateLimits.onSent(target.instanceId());
                    ports.orders().sendOrder(target, expectedOrderCount, layers, onAnswer);
                },
                roster::mayIssueOrders,
                timers,
                timeline);
    }

    /**
     * Creates and starts a gateway.
     * @param self this daemon
     * @param ports interfaces to the environment
     * @param settings settings of the deployment
     * @param timeline receives the events
     * @return the gateway
     */
    public static Gateway start(RosterEntry self, Ports ports, Settings settings, Timeline timeline) {
        return new Gateway(self, ports, settings, timeline);
    }

    // Queries

    /**
     * Returns the component that forwards requests.
     * @return the forwarder
     */
    public Forwarder forwarder() {
        return forwarder;
    }

    /**
     * Returns the judgement about outages of the store, to be told of calls that fail.
     * @return the outages
     */
    public StoreOutages outages() {
        return outages;
    }

    /**
     * Returns the registry of targets.
     * @return the registry
     */
    public TargetRegistry registry() {
        return registry;
    }

    /**
     * Returns the limits that targets have named on the rate of their requests.
     * @return the limits
     */
    public TargetRateLimits rateLimits() {
        return rateLimits;
    }

    /**
     * Returns the roster of serving daemons.
     * @return the roster
     */
    public Roster roster() {
        return roster;
    }

    /**
     * Returns whether callers should be sent to this daemon.
     * @return false until callers can connect and a catalog is in force, without a recent proof of the catalog, and
     *     while draining
     */
    public boolean isReady() {
        return listening && !draining && forwarder.catalog().isPresent() && freshness.isFresh();
    }

    /**
     * Returns whether this daemon is draining.
     * @return true once {@link #drain} was called
     */
    public boolean isDraining() {
        return draining;
    }

    /**
     * Lists the addresses to which callers should connect. While no daemon on the roster accepts requests, a draining
     * daemon lists itself, since it still accepts requests that it can finish. When not all addresses can be listed,
     * each caller gets its own subset, which is the same at every daemon until the roster changes, so that all daemons
     * share the load and callers keep their connections.
     * @param caller name that the caller asks for, and its location
     * @param maxAddresses maximum number of addresses, at least 1
     * @return addresses of daemons that accept requests; empty when this daemon has no recent proof of its data
     */
    public List<String> entryAddresses(String caller, int maxAddresses) {
        List<String> all = entryAddresses();
        if (all.size() <= maxAddresses) {
            return all;
        }
        int firstIndex = ((caller.hashCode() * HASH_MULTIPLIER) >>> Short.SIZE) % all.size();
        return IntStream.range(firstIndex, firstIndex + maxAddresses)
                .mapToObj(i -> all.get(i % all.size()))
                .toList();
    }

    /**
     * Lists all addresses to which callers should connect.
     * @return addresses of daemons that accept requests; empty when this daemon has no recent proof of its data
     */
    public List<String> entryAddresses() {
        if (!freshness.isFresh()) {
            return List.of();
        }
        List<String> listed =
                roster.entries().stream().map(RosterEntry::address).toList();
        return listed.isEmpty() && draining ? List.of(self.address()) : listed;
    }

    /**
     * Tells whether callers find another daemon that accepts requests. A roster that the store does not keep up to date
     * says nothing.
     */
    private boolean othersServe() {
        return !outages.isOutage() && roster.listsOtherFor(knownToCallersMillis);
    }

    /** Counts the daemons that come before this one in the order of their names. */
    private int rankOnRoster() {
        return (int) roster.entries().stream()
                .filter(e -> e.vm().compareTo(self.vm()) < 0)
                .count();
    }

    // Commands

    /**
     * Puts a catalog into force and, once callers can connect, adds this daemon to the roster.
     * @param catalog new catalog
     */
    public void onCatalog(Catalog catalog) {
        forwarder.onCatalog(catalog);
        forwarder.catalog().ifPresent(catalogListener);
        announceIfServing();
    }

    /**
     * Handles the era of the store, to be called before anything that was read in that era.
     * @param era the era, {@link EraGuard#NO_ERA} for a store that does not name one
     */
    public void onStoreEra(long era) {
        eraGuard.onEra(era);
        retryBudget.onStoreEra(era);
    }

    /**
     * Handles that the configuration was read from the store, after {@link #onCatalog}.
     * @param revision the store's revision of it
     */
    public void onConfigurationRead(long revision) {
        eraGuard.onConfigurationRead(revision);
    }

    /** Handles that the operator has written the configuration while this daemon was following the store. */
    public void onOperatorWrote() {
        eraGuard.onOperatorWrote();
    }

    /**
     * Sets the listener for changes of the catalog in force.
     * @param listener receives the catalog after each change
     */
    public void setCatalogListener(Consumer<Catalog> listener) {
        catalogListener = listener;
    }

    /** Records that callers can connect. */
    public void onListening() {
        listening = true;
        announceIfServing();
    }

    private void announceIfServing() {
        if (listening && !draining && forwarder.catalog().isPresent() && eraGuard.trustsConfiguration()) {
            roster.announce();
        }
    }

    /**
     * Handles a key of the daemons that the store holds.
     * @param key the key, below {@link Roster#PREFIX}
     * @param value its value
     * @param heldBy number of the lease that holds it, 0 for none
     * @param discovery how it became known
     */
    public void onKeyPresent(String key, byte[] value, long heldBy, Roster.Discovery discovery) {
        if (key.startsWith(CrashReports.PREFIX)) {
            crashReports.onKeyPresent(key, value);
        } else if (key.startsWith(RateLimitReports.PREFIX)) {
            rateLimitReports.onKeyPresent(key, value);
        } else if (key.equals(EraGuard.KEY)) {
            eraGuard.onMark(value);
            if (!eraGuard.trustsConfiguration()) {
                freshness.withdrawProof();
            }
        } else {
            roster.onKeyPresent(key, value, heldBy, discovery);
        }
    }

    /**
     * Handles the removal of a key of the daemons.
     * @param key the key, below {@link Roster#PREFIX}
     */
    public void onKeyRemoved(String key) {
        if (key.startsWith(CrashReports.PREFIX)) {
            crashReports.onKeyRemoved(key);
        } else if (key.startsWith(RateLimitReports.PREFIX)) {
            rateLimitReports.onKeyRemoved(key);
        } else {
            roster.onKeyRemoved(key);
        }
    }

    /**
     * Removes all keys but the listed ones, after a full listing.
     * @param keys all keys below {@link Roster#PREFIX} that exist
     */
    public void retainKeys(Collection<String> keys) {
        roster.retainKeys(keys);
        rateLimitReports.retainKeys(keys);
        eraGuard.onListed(keys);
    }

    /**
     * Records that the store has confirmed everything that was read from it. That proves nothing about the configuration
     * while a newer one may have been in force before the store was restored.
     * @param sent when the confirming call was sent
     */
    public void onProof(Freshness.ClockReading sent) {
        if (eraGuard.trustsConfiguration()) {
            freshness.recordProof(sent);
            announceIfServing();
        }
        outages.onAnswered();
        forwarder.onProof();
    }

    /**
     * Records that the store does not answer.
     * @param reason observed failure, for the event log
     */
    public void onStoreLost(String reason) {
        outages.begin(reason);
    }

    /**
     * Handles that the store was restored from an older snapshot: entries may be missing until they are written again, and
     * revisions and leases are given out again.
     */
    public void onStoreRestored() {
        onStoreLost("it was restored from an older snapshot");
        roster.onStoreRestored();
        crashReports.onStoreRestored();
        rateLimitReports.onStoreRestored();
        retryBudget.onStoreRestored();
    }

    /**
     * Shuts down gracefully: leaves the roster immediately, lets running requests continue, and aborts those that
     * remain shortly before the end of the grace period.
     * @param graceMillis grace period after which the process is killed, in milliseconds
     * @param onDone runs once no request is running
     */
    public void drain(long graceMillis, Runnable onDone) {
        if (draining) {
            return;
        }
        draining = true;
        timeline.record(EventKind.DRAIN_BEGUN, "inFlight", forwarder.inFlight(), "graceMs", graceMillis);
        roster.leave();
        forwarder.drainUntil(timers.nowMillis() + abortAfterMillis(graceMillis));
        pollDrain(timers.nowMillis(), graceMillis, cutCount(), onDone);
    }

    private static long abortAfterMillis(long graceMillis) {
        return Math.max(0, graceMillis - EXIT_MS);
    }

    private long cutCount() {
        return forwarder.counters().get(ForwardingCounters.Count.CUT);
    }

    private void pollDrain(long startedAtMillis, long graceMillis, long cutBefore, Runnable onDone) {
        long elapsedMillis = timers.nowMillis() - startedAtMillis;
        boolean idle = forwarder.inFlight() == 0 && elapsedMillis >= keptByCallersMillis;
        if (!idle && elapsedMillis < abortAfterMillis(graceMillis)) {
            timers.after(DRAIN_POLL_INTERVAL_MS, () -> pollDrain(startedAtMillis, graceMillis, cutBefore, onDone));
            return;
        }
        int inFlight = forwarder.inFlight();
        forwarder.drainUntil(timers.nowMillis());
        forwarder.terminateAll("the daemon shut down before the request ended");
        timeline.record(
                EventKind.DRAIN_DONE,
                "tookMs",
                elapsedMillis,
                "inFlight",
                inFlight,
                "cut",
                cutCount() - cutBefore,
                "cutByStop",
                forwarder.counters().get(ForwardingCounters.Count.CUT_BY_STOP));
        onDone.run();
    }
}
