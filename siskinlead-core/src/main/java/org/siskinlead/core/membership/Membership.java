package org.siskinlead.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Tracks the head record and decides whether this daemon is active, that is, may admit requests and own limits. The
 * daemon joins by a compare-and-swap, renews its quorum lease by heartbeats to the witnesses and, as the first live
 * witness, removes silent members.
 */
public final class Membership {
    /** Interval between heartbeats; twice as long where relays are in use. */
    public static final long HEARTBEAT_INTERVAL_MS = 300;
    /** Duration of a quorum lease, counted from the sending of the heartbeat that renewed it. */
    public static final long QUORUM_LEASE_MS = QuorumLease.DURATION_MS;
    /** Time for which requests that count against voted limits may run on after the daemon became inactive. */
    public static final long LEASE_LOSS_GRACE_MS = 5_000;
    /** Time from a removal until the removed member has certainly lost its quorum lease and ended its requests. */
    public static final long MAX_WORK_AFTER_REMOVAL_MS = QUORUM_LEASE_MS + LEASE_LOSS_GRACE_MS + 500;

    /** Delay of a heartbeat, beyond two intervals, above which this process is assumed to have been paused. */
    private static final long PROCESS_PAUSE_MS = 700;

    private static final long RELAY_TIMEOUT_MS = 900;
    private static final long WITNESS_READ_INTERVAL_MS = 1_000;
    private static final long JOIN_RETRY_DELAY_MS = 200;
    private static final int MAX_PENDING_HEARTBEATS = 64;

    private final HeadStore store;
    private final Peers peers;
    private final Timers timers;
    private final Timeline timeline;
    private final List<Consumer<Head>> listeners = new ArrayList<>();
    private final FailureDetector detector;
    private final HeadMaintenance headMaintenance;
    private final Map<String, Long> removedSeenAt = new HashMap<>();
    private final Map<Long, Long> heartbeatSentAt = new LinkedHashMap<>();
    private BooleanSupplier configurationLoaded = () -> true;
    private Predicate<Member> vouchCondition = member -> true;
    private Member self;
    private QuorumLease quorumLease;
    private Head head = Head.EMPTY;
    private long relayedLeaseUntil = Long.MIN_VALUE;
    private long relayedAcceptedVersion;
    private long relayAnsweredAt;
    private boolean skippedHeartbeat;
    private long sequence;
    private long lastHeartbeatAt;
    private boolean joining;
    private boolean leaving;
    private boolean wasActive;
    private long leaseUntil = Long.MIN_VALUE;
    private long lastActiveLeaseUntil = Long.MIN_VALUE / 2;

    private Membership(
            Member self,
            KeyValueStore store,
            Peers peers,
            Timers timers,
            Timeline timeline,
            Supplier<String> writeIds) {
        this.self = self;
        this.store = new HeadStore(store, timers, writeIds);
        this.peers = peers;
        this.timers = timers;
        this.timeline = timeline;
        this.quorumLease = new QuorumLease(self.id());
        this.detector = new FailureDetector(timers);
        this.headMaintenance = new HeadMaintenance(this, detector, timeline);
        this.lastHeartbeatAt = timers.nowMillis();
    }

    /**
     * Creates the membership of a daemon that has not joined yet.
     * @param self this daemon
     * @param store the platform's key-value store
     * @param peers transport to other daemons
     * @param timers clock and timers
     * @param timeline receives events
     * @param writeIds source of identifiers for writes
     * @return the membership
     */
    public static Membership of(
            Member self,
            KeyValueStore store,
            Peers peers,
            Timers timers,
            Timeline timeline,
            Supplier<String> writeIds) {
        return new Membership(self, store, peers, timers, timeline, writeIds);
    }

    // Queries

    /**
     * Gets the latest head known to this daemon.
     * @return the head
     */
    public Head head() {
        return head;
    }

    /**
     * Gets this daemon's present incarnation.
     * @return the member
     */
    public Member self() {
        return self;
    }

    /**
     * Tells whether this daemon is active, that is, may admit requests and own limits.
     * @return true while it is a member, has loaded its configuration and holds a quorum lease
     */
    public boolean isActive() {
        return leaseUntil > timers.nowMillis() && isMember() && configurationLoaded.getAsBoolean();
    }

    /**
     * Tells whether the latest head is accepted: a majority of witnesses has it and vouches for no earlier one.
     * @return true when every daemon that is active {@link #QUORUM_LEASE_MS} from now uses this head or a later one
     */
    public boolean headAccepted() {
        return isActive() && (quorumLease.isConfirmed(head) || relayedAcceptedVersion >= head.version());
    }

    /**
     * Tells whether this daemon has been inactive for longer than {@link #LEASE_LOSS_GRACE_MS}.
     * @return true when requests that count against voted limits must end
     */
    public boolean leaseLossGraceExpired() {
        return timers.nowMillis() > lastActiveLeaseUntil + LEASE_LOSS_GRACE_MS;
    }

    /**
     * Tells whether requests of a removed member may still be running.
     * @param id identity of the removed member
     * @return true until {@link #MAX_WORK_AFTER_REMOVAL_MS} after this daemon learned of the removal
     */
    public boolean mayHaveRunningWork(String id) {
        Long seenAt = removedSeenAt.get(id);
        return seenAt != null && timers.nowMillis() - seenAt < MAX_WORK_AFTER_REMOVAL_MS;
    }

    /**
     * Tells whether this daemon is a witness of the latest head.
     * @return true when it answers heartbeats with vouches
     */
    public boolean isWitness() {
        return head.witnesses().stream().anyMatch(w -> w.id().equals(self.id()));
    }

    // Commands

    /**
     * Subscribes to new heads.
     * @param listener called with each head after it was installed
     */
    public void onHead(Consumer<Head> listener) {
        listeners.add(listener);
    }

    /**
     * Sets the check for the configuration of the latest head.
     * @param loaded true once that configuration is loaded
     */
    public void setConfigurationLoadedCheck(BooleanSupplier loaded) {
        configurationLoaded = loaded;
    }

    /**
     * Sets a further condition under which this daemon answers the heartbeats of a member.
     * @param condition true for a member that has all reports it needs before it may be active
     */
    public void setVouchCondition(Predicate<Member> condition) {
        vouchCondition = condition;
    }

    /** Joins the cluster and starts heartbeats. */
    public void start() {
        join();
        timers.every(HEARTBEAT_INTERVAL_MS, this::sendScheduledHeartbeats);
        timers.every(WITNESS_READ_INTERVAL_MS, this::readHeadIfWitness);
    }

    /**
     * Changes the head by compare-and-swap.
     * @param change maps the stored head to the next one, or to null when the change no longer applies
     * @param onOutcome receives the result once
     */
    public void change(Function<Head, @Nullable Head> change, Consumer<ChangeOutcome> onOutcome) {
        store.change(change, this::installAndBroadcast, onOutcome);
    }

    /**
     * Marks this daemon as draining.
     * @param onOutcome receives the result once
     */
    public void drain(Consumer<ChangeOutcome> onOutcome) {
        change(h -> h.withDraining(self.id()), onOutcome);
    }

    /**
     * Leaves the cluster after all requests have ended.
     * @param onOutcome receives the result once
     */
    public void leave(Consumer<ChangeOutcome> onOutcome) {
        leaving = true;
        change(h -> h.member(self.id()).isPresent() ? h.withoutStopped(self.id()) : null, onOutcome);
    }

    /**
     * Handles a heartbeat: answers it, or exchanges heads when the sender knows another version.
     * @param heartbeat the heartbeat
     */
    public void onHeartbeat(PeerMessage.Heartbeat heartbeat) {
        detector.onHeardDirectly(heartbeat.from());
        heartbeat.heard().forEach(id -> detector.onHeard(id, timers.nowMillis()));
        if (heartbeat.headVersion() < head.version()) {
            peers.send(heartbeat.replyTo(), new PeerMessage.HeadUpdate(head));
        } else if (heartbeat.headVersion() > head.version()) {
            peers.send(heartbeat.replyTo(), new PeerMessage.HeadRequest(self.peerAddress()));
        } else if (isMember() && configurationLoaded.getAsBoolean() && mayVouchFor(heartbeat.from())) {
            peers.send(heartbeat.replyTo(), answer(heartbeat));
        }
    }

    /**
     * Handles a relay's remaining quorum lease, which counts for this daemon from the time its heartbeat was sent.
     * @param vouch the relay's answer
     */
    public void onRelayedVouch(PeerMessage.RelayedVouch vouch) {
        Long sentAt = heartbeatSentAt(vouch.sequence(), vouch.headVersion());
        if (sentAt == null) {
            return;
        }
        relayAnsweredAt = timers.nowMillis();
        relayedLeaseUntil = Math.max(relayedLeaseUntil, sentAt + Math.min(vouch.remainingMillis(), QUORUM_LEASE_MS));
        if (vouch.accepted()) {
            relayedAcceptedVersion = Math.max(relayedAcceptedVersion, vouch.headVersion());
        }
        refreshLease();
    }

    /**
     * Handles a vouch of a witness, which renews the quorum lease.
     * @param vouch the witness's answer
     */
    public void onVouch(PeerMessage.Vouch vouch) {
        Long sentAt = heartbeatSentAt(vouch.sequence(), vouch.headVersion());
        if (sentAt == null) {
            return;
        }
        quorumLease.recordVouch(vouch.witness(), vouch.headVersion(), sentAt);
        detector.onHeard(vouch.witness(), sentAt);
        refreshLease();
    }

    /**
     * Handles a request for the head.
     * @param request the request
     */
    public void onHeadRequest(PeerMessage.HeadRequest request) {
        peers.send(request.replyTo(), new PeerMessage.HeadUpdate(head));
    }

    /**
     * Installs a head if it is newer than the one known.
     * @param candidate the head
     */
    public void install(Head candidate) {
        if (candidate.version() <= head.version()) {
            return;
        }
        boolean membersChanged = candidate.epoch() != head.epoch();
        boolean witnessesChanged = !candidate.witnesses().equals(head.witnesses());
        head = candidate;
        if (witnessesChanged) {
            quorumLease.reset();
            relayedLeaseUntil = Long.MIN_VALUE;
        }
        recordRemovedMembers();
        timeline.record(
                EventKind.HEAD_INSTALLED,
                "version",
                head.version(),
                "epoch",
                head.epoch(),
                "revision",
                head.revision());
        if (membersChanged) {
            detector.watch(head.members());
        }
        refreshLease();
        rejoinIfRemoved();
        listeners.forEach(l -> l.accept(head));
        sendHeartbeats();
    }

    /**
     * Handles a refused connection, which proves that a witness at that address has stopped.
     * @param peerAddress address that refused the connection
     */
    public void onConnectionRefused(String peerAddress) {
        for (Member member : currentAndPreviousWitnesses()) {
            if (member.peerAddress().equals(peerAddress) && !member.id().equals(self.id())) {
                detector.onRefused(member.id());
                quorumLease.markDead(member.id());
            }
        }
        refreshLease();
    }

    // Helpers

    /** Creates a vouch on a witness, or reports this daemon's own remaining lease on a relay. */
    private PeerMessage answer(PeerMessage.Heartbeat heartbeat) {
        if (isWitness()) {
            return new PeerMessage.Vouch(self.id(), head.version(), heartbeat.sequence());
        }
        long remaining = isActive() ? leaseUntil - timers.nowMillis() : 0;
        return new PeerMessage.RelayedVouch(head.version(), heartbeat.sequence(), remaining, headAccepted());
    }

    /** Finds when the answered heartbeat was sent; null for an answer about another head version. */
    private @Nullable Long heartbeatSentAt(long answeredSequence, long headVersion) {
        return headVersion == head.version() ? heartbeatSentAt.get(answeredSequence) : null;
    }

    private boolean mayVouchFor(String id) {
        return head.member(id).filter(vouchCondition).isPresent();
    }

    private boolean isMember() {
        return head.member(self.id()).isPresent();
    }

    private void join() {
        joining = true;
        change(h -> h.withMember(self), outcome -> {
            if (outcome == ChangeOutcome.STORED) {
                joining = false;
                timeline.record(EventKind.MEMBER_JOINED, "member", self.id());
                rejoinIfRemoved();
            } else {
                timers.after(JOIN_RETRY_DELAY_MS, this::join);
            }
        });
    }

    /** Rejoins after a removal. Also called when a join ends, as a removal may arrive while its write is unanswered. */
    private void rejoinIfRemoved() {
        if (!isMember() && !joining && !leaving) {
            rejoin();
        }
    }

    private void rejoin() {
        self = self.rejoining();
        quorumLease = new QuorumLease(self.id());
        join();
    }

    private void installAndBroadcast(Head stored) {
        install(stored);
        for (Member member : currentAndPreviousWitnesses()) {
            if (!member.id().equals(self.id())) {
                peers.send(member.peerAddress(), new PeerMessage.HeadUpdate(head));
            }
        }
    }

    /** Sends heartbeats, or only every other one where relays are in use. */
    private void sendScheduledHeartbeats() {
        skippedHeartbeat = Relays.inUse(head) && !skippedHeartbeat;
        if (!skippedHeartbeat) {
            sendHeartbeats();
        }
    }

    private void sendHeartbeats() {
        refreshLease();
        if (timers.nowMillis() - lastHeartbeatAt > 2 * HEARTBEAT_INTERVAL_MS + PROCESS_PAUSE_MS) {
            detector.resetSilence();
        }
        lastHeartbeatAt = timers.nowMillis();
        if (!isMember()) {
            return;
        }
        sequence++;
        heartbeatSentAt.put(sequence, timers.nowMillis());
        if (heartbeatSentAt.size() > MAX_PENDING_HEARTBEATS) {
            heartbeatSentAt.remove(heartbeatSentAt.keySet().iterator().next());
        }
        PeerMessage heartbeat = new PeerMessage.Heartbeat(
                self.id(), self.peerAddress(), head.version(), sequence, membersHeardAsRelay());
        for (Member member : heartbeatRecipients()) {
            if (!member.id().equals(self.id())) {
                peers.send(member.peerAddress(), heartbeat);
            }
        }
        headMaintenance.run();
    }

    /** Lists the relay, or all witnesses where there is no relay; both when the relay does not answer. */
    private List<Member> heartbeatRecipients() {
        Optional<Member> relay = Relays.relayOf(head, self);
        boolean relayAnswers = timers.nowMillis() - relayAnsweredAt <= RELAY_TIMEOUT_MS;
        if (relay.isEmpty()) {
            return currentAndPreviousWitnesses();
        }
        List<Member> recipients = new ArrayList<>(List.of(relay.get()));
        if (!relayAnswers) {
            recipients.addAll(currentAndPreviousWitnesses());
        }
        return recipients;
    }

    /** Lists the members heard from lately, for witnesses that do not receive their heartbeats. */
    private List<String> membersHeardAsRelay() {
        if (!Relays.inUse(head) || isWitness()) {
            return List.of();
        }
        return detector.heardDirectly(head, 2 * HEARTBEAT_INTERVAL_MS);
    }

    /** Lists the present witnesses and those of earlier sets that the head still names. */
    private List<Member> currentAndPreviousWitnesses() {
        Map<String, Member> witnessesById = new LinkedHashMap<>();
        head.witnesses().forEach(m -> witnessesById.put(m.id(), m));
        head.previousWitnesses().forEach(set -> set.forEach(m -> witnessesById.putIfAbsent(m.id(), m)));
        return List.copyOf(witnessesById.values());
    }

    private void readHeadIfWitness() {
        if (isWitness()) {
            store.read(this::install);
        }
    }

    private void recordRemovedMembers() {
        for (String id : head.removed()) {
            removedSeenAt.putIfAbsent(id, timers.nowMillis());
        }
        removedSeenAt.keySet().removeIf(id -> !head.removed().contains(id) && !mayHaveRunningWork(id));
        // A daemon no longer vouches under an earlier incarnation once a later one on its VM is a member.
        for (Member current : head.members()) {
            for (Member earlier : currentAndPreviousWitnesses()) {
                if (earlier.vm().equals(current.vm()) && !earlier.id().equals(current.id())) {
                    quorumLease.markDead(earlier.id());
                }
            }
        }
    }

    private void refreshLease() {
        leaseUntil = Math.max(quorumLease.validUntil(head), relayedLeaseUntil);
        boolean active = isActive();
        if (active) {
            lastActiveLeaseUntil =
                    Math.max(lastActiveLeaseUntil, Math.min(leaseUntil, timers.nowMillis() + QUORUM_LEASE_MS));
        }
        if (active == wasActive) {
            return;
        }
        wasActive = active;
        timeline.record(active ? EventKind.STANDING_GAINED : EventKind.STANDING_LOST, "version", head.version());
    }
}
