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
 * Keeps this daemon's knowledge of the head record and decides whether it may act. It joins by a compare-and-swap,
 * renews its standing by heartbeats to the witnesses and, as the first live witness, removes members that fell silent.
 */
public final class Membership {
    /** Period of heartbeats. */
    public static final long HEARTBEAT_INTERVAL_MS = 300;
    /** How long a vouch counts after its heartbeat was sent. */
    public static final long QUORUM_LEASE_MS = QuorumLease.DURATION_MS;
    /** How long a daemon without standing lets requests run that count against voted limits. */
    public static final long LEASE_LOSS_GRACE_MS = 5_000;
    /** After this long a removed member has neither standing nor running work. */
    public static final long MAX_WORK_AFTER_REMOVAL_MS = QUORUM_LEASE_MS + LEASE_LOSS_GRACE_MS + 500;

    /** Lateness of the heartbeat timer that shows that this process itself was paused. */
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
     * @param store the platform's key-value service
     * @param peers way to other daemons
     * @param timers time
     * @param timeline where events go
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
     * Gets the latest head known here.
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
     * Tells whether this daemon may act now.
     * @return true while it is a member, has its configuration and enough fresh vouches
     */
    public boolean isActive() {
        return leaseUntil > timers.nowMillis() && isMember() && configurationLoaded.getAsBoolean();
    }

    /**
     * Tells whether the latest head is accepted: a majority of witnesses has it and vouches for nothing earlier.
     * @return true when every daemon that acts {@link #QUORUM_LEASE_MS} from now acts by this head or a later one
     */
    public boolean headAccepted() {
        return isActive() && (quorumLease.confirmed(head) || relayedAcceptedVersion >= head.version());
    }

    /**
     * Tells whether standing has been missing for longer than running work may go on.
     * @return true when work that counts against voted limits must end
     */
    public boolean leaseLossGraceExpired() {
        return timers.nowMillis() > lastActiveLeaseUntil + LEASE_LOSS_GRACE_MS;
    }

    /**
     * Tells whether work of a removed member may still be running.
     * @param id identity of the removed member
     * @return true until {@link #MAX_WORK_AFTER_REMOVAL_MS} after this daemon learned of the removal
     */
    public boolean mayHaveRunningWork(String id) {
        Long seenAt = removedSeenAt.get(id);
        return seenAt != null && timers.nowMillis() - seenAt < MAX_WORK_AFTER_REMOVAL_MS;
    }

    /**
     * Tells whether this daemon vouches for the head.
     * @return true when it is one of the witnesses
     */
    public boolean isWitness() {
        return head.witnesses().stream().anyMatch(w -> w.id().equals(self.id()));
    }

    // Commands

    /**
     * Subscribes to new heads.
     * @param listener told of each head after it was installed
     */
    public void onHead(Consumer<Head> listener) {
        listeners.add(listener);
    }

    /**
     * Sets the check that tells whether the configuration of the latest head is loaded.
     * @param loaded the check
     */
    public void setConfigurationLoadedCheck(BooleanSupplier loaded) {
        configurationLoaded = loaded;
    }

    /**
     * Adds a condition under which this daemon vouches for a member.
     * @param condition tells whether a member knows all it must know
     */
    public void setVouchCondition(Predicate<Member> condition) {
        vouchCondition = condition;
    }

    /** Joins the system and begins heartbeats. */
    public void start() {
        join();
        timers.every(HEARTBEAT_INTERVAL_MS, this::sendScheduledHeartbeats);
        timers.every(WITNESS_READ_INTERVAL_MS, this::readHeadIfWitness);
    }

    /**
     * Changes the head by compare-and-swap.
     * @param change gives the next head, or null when the change no longer applies
     * @param onOutcome receives how it ended
     */
    public void change(Function<Head, @Nullable Head> change, Consumer<ChangeOutcome> onOutcome) {
        store.change(change, this::installAndBroadcast, onOutcome);
    }

    /**
     * Marks this daemon as draining.
     * @param onOutcome receives how it ended
     */
    public void drain(Consumer<ChangeOutcome> onOutcome) {
        change(h -> h.withDraining(self.id()), onOutcome);
    }

    /**
     * Leaves the system after all work is done.
     * @param onOutcome receives how it ended
     */
    public void leave(Consumer<ChangeOutcome> onOutcome) {
        leaving = true;
        change(h -> h.member(self.id()).isPresent() ? h.withoutStopped(self.id()) : null, onOutcome);
    }

    /**
     * Handles a heartbeat.
     * @param heartbeat the heartbeat
     */
    public void onHeartbeat(PeerMessage.Heartbeat heartbeat) {
        detector.heardDirectly(heartbeat.from());
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
     * Handles the standing of this daemon's relay, which holds for this daemon from the moment of its heartbeat on.
     * @param vouch the relay's standing
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
     * Handles a vouch.
     * @param vouch the vouch
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
     * Installs a head if it is later than the one known.
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
     * Handles a refused connection, which proves that the daemon at that address has ended.
     * @param peerAddress address that refused
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

    /** Vouches as a witness, or passes on this daemon's own standing as a relay. */
    private PeerMessage answer(PeerMessage.Heartbeat heartbeat) {
        if (isWitness()) {
            return new PeerMessage.Vouch(self.id(), head.version(), heartbeat.sequence());
        }
        long remaining = isActive() ? leaseUntil - timers.nowMillis() : 0;
        return new PeerMessage.RelayedVouch(head.version(), heartbeat.sequence(), remaining, headAccepted());
    }

    /** Finds when the heartbeat was sent that an answer belongs to; none for an answer about another head. */
    private @Nullable Long heartbeatSentAt(long answered, long headVersion) {
        return headVersion == head.version() ? heartbeatSentAt.get(answered) : null;
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

    /** Joins anew after a removal; one that came while the write of the join had no answer is found when it ends. */
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

    /** Sends every other heartbeat only, where relays are in use. */
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

    /** Lists the relay, or all witnesses where there is no relay or it does not answer. */
    private List<Member> heartbeatRecipients() {
        Optional<Member> relay = Relays.relayOf(head, self);
        boolean relayAnswers = timers.nowMillis() - relayAnsweredAt <= RELAY_TIMEOUT_MS;
        if (relay.isEmpty()) {
            return currentAndPreviousWitnesses();
        }
        List<Member> asked = new ArrayList<>(List.of(relay.get()));
        if (!relayAnswers) {
            asked.addAll(currentAndPreviousWitnesses());
        }
        return asked;
    }

    /** Lists the members heard lately, for witnesses that do not hear them themselves. */
    private List<String> membersHeardAsRelay() {
        if (!Relays.inUse(head) || isWitness()) {
            return List.of();
        }
        return detector.heardDirectly(head, 2 * HEARTBEAT_INTERVAL_MS);
    }

    /** Lists the witnesses and those of earlier sets that have yet to confirm. */
    private List<Member> currentAndPreviousWitnesses() {
        Map<String, Member> concerned = new LinkedHashMap<>();
        head.witnesses().forEach(m -> concerned.put(m.id(), m));
        head.previousWitnesses().forEach(set -> set.forEach(m -> concerned.putIfAbsent(m.id(), m)));
        return List.copyOf(concerned.values());
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
        for (Member current : head.members()) {
            for (Member earlier : currentAndPreviousWitnesses()) {
                if (earlier.vm().equals(current.vm()) && !earlier.id().equals(current.id())) {
                    quorumLease.markDead(earlier.id());
                }
            }
        }
    }

    private void refreshLease() {
        leaseUntil = Math.max(quorumLease.until(head), relayedLeaseUntil);
        boolean now = isActive();
        if (now) {
            lastActiveLeaseUntil =
                    Math.max(lastActiveLeaseUntil, Math.min(leaseUntil, timers.nowMillis() + QUORUM_LEASE_MS));
        }
        if (now == wasActive) {
            return;
        }
        wasActive = now;
        timeline.record(now ? EventKind.STANDING_GAINED : EventKind.STANDING_LOST, "version", head.version());
    }
}
