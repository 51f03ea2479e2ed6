package org.siskinlead.core.node;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.siskinlead.core.configuration.Configuration;
import org.siskinlead.core.configuration.Parameter;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.idempotency.KeyClaims;
import org.siskinlead.core.idempotency.KeyRecorder;
import org.siskinlead.core.invariant.Invariants;
import org.siskinlead.core.limits.LimitHolder;
import org.siskinlead.core.limits.LimitOwner;
import org.siskinlead.core.limits.TeamLimit;
import org.siskinlead.core.membership.ChangeOutcome;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.placement.OrderSender;
import org.siskinlead.core.placement.PlacementController;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.core.retry.CrashGuard;
import org.siskinlead.core.routing.Fleet;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.routing.NextTargetSelector;
import org.siskinlead.core.routing.Target;
import org.siskinlead.core.serving.Serving;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Assembles the components that make a daemon's decisions and dispatches events to them. Not thread-safe: the host
 * calls every method on its single decision thread.
 */
public final class Node {
    private static final long DRAIN_POLL_INTERVAL_MS = 100;
    /** Time for which callers may cache a list of entry VMs. */
    public static final long ENTRY_LIST_TTL_MS = 5_000;

    private final Timers timers;
    private final OrderSender orders;
    private final Timeline timeline;
    private final Invariants invariants;
    private final Membership membership;
    private final Configuration configuration;
    private final LimitHolder limitHolder;
    private final LimitOwner limitOwner;
    private final KeyClaims keyClaims;
    private final KeyRecorder keyRecorder;
    private final CrashGuard crashGuard;
    private final Fleet fleet;
    private final Serving serving;
    private boolean draining;

    private Node(Member self, Ports ports, NextTargetSelector selector, Timeline timeline, Invariants invariants) {
        this.timers = ports.timers();
        this.orders = ports.orders();
        this.timeline = timeline;
        this.invariants = invariants;
        Peers peers = ports.peers();
        KeyValueStore store = ports.store();
        Supplier<String> ids = ports.ids();
        membership = Membership.of(self, store, peers, timers, timeline, ids);
        configuration = Configuration.of(membership, store, peers, timers, timeline, ids);
        limitHolder = LimitHolder.of(membership, peers, timers, invariants, this::limitOf);
        limitOwner = LimitOwner.of(membership, peers, timers, timeline, invariants, this::limitOf);
        configuration.addInForceListener(limitHolder::onLimitsChanged);
        keyClaims = KeyClaims.of(membership, peers, timers, ids);
        keyRecorder = KeyRecorder.of(membership, store, peers, timers, timeline);
        crashGuard = CrashGuard.of(membership, peers, timers, timeline);
        fleet = Fleet.of(self.dataCentre(), selector, timers, timeline);
        serving = Serving.of(
                membership,
                configuration,
                limitHolder,
                keyClaims,
                crashGuard,
                fleet,
                ports.targets(),
                timers,
                timeline,
                invariants);
    }

    /**
     * Creates a node.
     * @param self this daemon
     * @param ports interfaces to the host
     * @param selector policy for choosing targets
     * @param timeline records the node's events
     * @param invariants checks that run with every decision
     * @return the node, not started
     */
    public static Node of(
            Member self, Ports ports, NextTargetSelector selector, Timeline timeline, Invariants invariants) {
        return new Node(self, ports, selector, timeline, invariants);
    }

    // Queries

    /**
     * Gets the membership.
     * @return this daemon's view of the members
     */
    public Membership membership() {
        return membership;
    }

    /**
     * Gets the configuration.
     * @return templates and limits in force on this daemon
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Gets the fleet.
     * @return the targets that this daemon knows
     */
    public Fleet fleet() {
        return fleet;
    }

    /**
     * Gets the request handling.
     * @return component that serves callers' requests
     */
    public Serving serving() {
        return serving;
    }

    /**
     * Gets the timeline.
     * @return latest events of this daemon
     */
    public Timeline timeline() {
        return timeline;
    }

    /**
     * Gets the team limits.
     * @return slots and rates allotted to this daemon
     */
    public LimitHolder limits() {
        return limitHolder;
    }

    /**
     * Gets the invariant checks.
     * @return the checks and their counts
     */
    public Invariants invariants() {
        return invariants;
    }

    /**
     * Tells whether this daemon is draining.
     * @return true once a drain has begun
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Lists the entry VMs that callers may use, with those in this data centre first.
     * @return members that are not draining
     */
    public List<Member> entryVms() {
        String localDataCentre = membership.self().dataCentre();
        return membership.head().members().stream()
                .filter(m -> !m.draining())
                .sorted((a, b) -> Boolean.compare(
                        !a.dataCentre().equals(localDataCentre), !b.dataCentre().equals(localDataCentre)))
                .toList();
    }

    // Commands

    /** Joins the members and starts placing models on engines. */
    public void start() {
        membership.start();
        PlacementController.start(membership, fleet, orders, timers, timeline, this::wantedModels);
    }

    /**
     * Handles a new list of VMs from the platform.
     * @param vms VMs as the platform lists them, possibly stale
     */
    public void onVms(Collection<VmEntry> vms) {
        fleet.onVms(vms);
        serving.onVms(vms);
    }

    /**
     * Handles a status report of an engine.
     * @param target the target as reported
     */
    public void onReport(Target target) {
        fleet.onReport(target);
        crashGuard.onTargetReport(target.instanceId());
    }

    /**
     * Dispatches a message from another daemon to the component that handles it.
     * @param message message that may be late or repeated
     */
    public void onPeerMessage(PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat m) {
            membership.onHeartbeat(m);
        } else if (message instanceof PeerMessage.Vouch m) {
            membership.onVouch(m);
        } else if (message instanceof PeerMessage.RelayedVouch m) {
            membership.onRelayedVouch(m);
        } else if (message instanceof PeerMessage.HeadUpdate m) {
            membership.install(m.head());
        } else if (message instanceof PeerMessage.HeadRequest m) {
            membership.onHeadRequest(m);
        } else if (message instanceof PeerMessage.DocumentRequest m) {
            configuration.onDocumentRequest(m);
        } else if (message instanceof PeerMessage.DocumentReply m) {
            configuration.onDocumentReply(m);
        } else {
            onSharedStateMessage(message);
        }
    }

    /**
     * Drains this daemon: directs callers to other daemons, lets requests in flight end, then leaves the members. Later
     * calls have no effect.
     * @param onDone runs once the daemon has left
     */
    public void drain(Runnable onDone) {
        if (draining) {
            return;
        }
        draining = true;
        timeline.record(EventKind.DRAIN_BEGUN, "inFlight", serving.inFlight());
        membership.drain(outcome -> {});
        long earliestCloseMillis = timers.nowMillis() + ENTRY_LIST_TTL_MS;
        awaitDrained(earliestCloseMillis, onDone);
    }

    // Helpers

    private void onSharedStateMessage(PeerMessage message) {
        if (message instanceof PeerMessage.Holdings m) {
            limitOwner.onHoldings(m);
        } else if (message instanceof PeerMessage.HoldingsRequest m) {
            limitHolder.onHoldingsRequest(m);
            limitOwner.onHoldingsRequest(m);
        } else if (message instanceof PeerMessage.AllotmentRelay m) {
            limitOwner.onRelay(m);
        } else if (message instanceof PeerMessage.LedgerCopies m) {
            limitOwner.onCopies(m);
        } else if (message instanceof PeerMessage.LimitDemand m) {
            limitOwner.onDemand(m);
        } else if (message instanceof PeerMessage.Allotment m) {
            limitHolder.onAllotment(m);
        } else if (message instanceof PeerMessage.ClaimRequest m) {
            keyRecorder.onClaim(m);
        } else if (message instanceof PeerMessage.ClaimResult m) {
            keyRecorder.onResult(m);
        } else if (message instanceof PeerMessage.ClaimReply m) {
            keyClaims.onReply(m);
        } else if (message instanceof PeerMessage.ClaimQuery m) {
            keyClaims.onQuery(m);
        } else if (message instanceof PeerMessage.ClaimResultStored m) {
            keyClaims.onResultStored(m);
        } else if (message instanceof PeerMessage.CrashSuspect m) {
            crashGuard.onCrashReport(m);
        } else if (message instanceof PeerMessage.CrashExposure m) {
            crashGuard.onExposure(m);
        } else if (message instanceof PeerMessage.CrashCleared m) {
            crashGuard.onCleared(m);
        } else if (message instanceof PeerMessage.CrashTrial m) {
            crashGuard.onTrial(m);
        } else if (message instanceof PeerMessage.CrashSuspectStored m) {
            crashGuard.onReportConfirmed(m);
        } else if (message instanceof PeerMessage.CrashTrace m) {
            crashGuard.onTrace(m);
        } else if (message instanceof PeerMessage.CrashTracesEnded m) {
            crashGuard.onTracesEnded(m);
        }
    }

    private Set<ModelVersion> wantedModels() {
        Set<ModelVersion> wanted = new LinkedHashSet<>();
        for (TeamDocument team : configuration.teams()) {
            team.template().models().forEach((model, version) -> wanted.add(new ModelVersion(model, version)));
        }
        return wanted;
    }

    private TeamLimit limitOf(String team) {
        return configuration
                .team(team)
                .map(d -> new TeamLimit(
                        (int) d.value(Parameter.MAX_CONCURRENT, 0), d.value(Parameter.REQUESTS_PER_SECOND, 0)))
                .orElse(new TeamLimit(0, 0));
    }

    /** Serves callers with a cached list of entry VMs until it expires, then waits for the last request and result. */
    private void awaitDrained(long earliestCloseMillis, Runnable onDone) {
        boolean mayClose = timers.nowMillis() >= earliestCloseMillis;
        if (mayClose) {
            serving.close();
        }
        if (mayClose && serving.inFlight() == 0 && !keyClaims.hasUnstoredResults()) {
            membership.leave(outcome -> finishDrain(outcome, onDone));
        } else {
            timers.after(DRAIN_POLL_INTERVAL_MS, () -> awaitDrained(earliestCloseMillis, onDone));
        }
    }

    private void finishDrain(ChangeOutcome outcome, Runnable onDone) {
        timeline.record(EventKind.DRAIN_DONE, "left", outcome);
        onDone.run();
    }
}
