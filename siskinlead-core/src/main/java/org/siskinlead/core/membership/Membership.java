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
    public static final long HEARTBEAT_MS = 300;
    /** How long a vouch counts after its heartbeat was sent. */
    public static final long FRESH_MS = Standing.FRESH_MS;
    /** How long a daemon without standing lets requests run that count against voted limits. */
    public static final long HOLD_MS = 5_000;
    /** After this long a removed member has neither standing nor running work. */
    public static final long GONE_MS = FRESH_MS + HOLD_MS + 500;

    /** Lateness of the heartbeat timer that shows that this process itself was paused. */
    private static final long PAUSE_MS = 700;

    private static final long RELAY_SILENT_MS = 900;
    private static final long WITNESS_READ_MS = 1_000;
    private static final long JOIN_RETRY_MS = 200;
    private static final int MAX_HEARTBEATS_PENDING = 64;

    private final HeadStore store;
    private final Peers peers;
    private final Timers timers;
    private final Timeline timeline;
    private final List<Consumer<Head>> listeners = new ArrayList<>();
    private final FailureDetector detector;
    private final HeadKeeper keeper;
    private final Map<String, Long> removedSeenAt = new HashMap<>();
    private final Map<Long, Long> heartbeatSentAt = new LinkedHashMap<>();
    private BooleanSupplier configurationLoaded = () -> true;
    private Predicate<Member> vouchCondition = member -> true;
    private Member self;
    private Standing standing;
    private Head head = Head.EMPTY;
    private long relayedUntil = Long.MIN_VALUE;
    private long relayedAcceptedVersion;
    private long relayAnsweredAt;
    private boolean skippedBeat;
    private long sequence;
    private long lastBeatAt;
    private boolean joining;
    private boolean leaving;
    private boolean wasInStanding;
    private long standingUntil = Long.MIN_VALUE;
    private long lastStandingUntil = Long.MIN_VALUE / 2;

    private Membership(
            Member self, KeyValueStore store, Peers peers, Timers timers, Timeline timeline, Supplier<String> marks) {
        this.self = self;
        this.store = new HeadStore(store, timers, marks);
        this.peers = peers;
        this.timers = timers;
        this.timeline = timeline;
        this.standing = new Standing(self.id());
        this.detector = new FailureDetector(timers);
        this.keeper = new HeadKeeper(this, detector, timeline);
        this.lastBeatAt = timers.nowMillis();
    }

    /**
     * Creates the membership of a daemon that has not joined yet.
     * @param self this daemon
     * @param store the platform's key-value service
     * @param peers way to other daemons
     * @param timers time
     * @param timeline where events go
     * @param marks source of identifiers for writes
     * @return the membership
     */
    public static Membership of(
            Member self, KeyValueStore store, Peers peers, Timers timers, Timeline timeline, Supplier<String> marks) {
        return new Membership(self, store, peers, timers, timeline, marks);
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
    public boolean inStanding() {
        return standingUntil > timers.nowMillis() && isMember() && configurationLoaded.getAsBoolean();
    }

    /**
     * Tells whether the latest head is accepted: a majority of witnesses has it and vouches for nothing earlier.
     * @return true when every daemon that acts {@link #FRESH_MS} from now acts by this head or a later one
     */
    public boolean headAccepted() {
        return inStanding() && (standing.confirmed(head) || relayedAcceptedVersion >= head.version());
    }

    /**
     * Tells whether standing has been missing for longer than running work may go on.
     * @return true when work that counts against voted limits must end
     */
    public boolean holdExpired() {
        return timers.nowMillis() > lastStandingUntil + HOLD_MS;
    }

    /**
     * Tells whether work of a removed member may still be running.
     * @param id identity of the removed member
     * @return true until {@link #GONE_MS} after this daemon learned of the removal
     */
    public boolean mayStillRun(String id) {
        Long seenAt = removedSeenAt.get(id);
        return seenAt != null && timers.nowMillis() - seenAt < GONE_MS;
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
    public void configurationLoadedWhen(BooleanSupplier loaded) {
        configurationLoaded = loaded;
    }

    /**
     * Adds a condition under which this daemon vouches for a member.
     * @param condition tells whether a member knows all it must know
     */
    public void vouchOnlyWhen(Predicate<Member> condition) {
        vouchCondition = condition;
    }

    /** Joins the system and begins heartbeats. */
    public void start() {
        join();
        timers.every(HEARTBEAT_MS, this::beatUnlessMany);
        timers.every(WITNESS_READ_MS, this::readAsWitness);
    }

    /**
     * Changes the head by compare-and-swap.
     * @param change gives the next head, or null when the change no longer applies
     * @param onOutcome receives how it ended
     */
    public void change(Function<Head, @Nullable Head> change, Consumer<ChangeOutcome> onOutcome) {
        store.change(change, this::installAndSpread, onOutcome);
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
        change(h -> h.member(self.id()).isPresent() ? h.withoutFinished(self.id()) : null, onOutcome);
    }

    /**
     * Handles a heartbeat.
     * @param beat the heartbeat
     */
    public void onHeartbeat(PeerMessage.Heartbeat beat) {
        detector.heardDirectly(beat.from());
        beat.heard().forEach(id -> detector.heard(id, timers.nowMillis()));
        if (beat.headVersion() < head.version()) {
            peers.send(beat.replyTo(), new PeerMessage.HeadUpdate(head));
        } else if (beat.headVersion() > head.version()) {
            peers.send(beat.replyTo(), new PeerMessage.HeadRequest(self.peerAddress()));
        } else if (isMember() && configurationLoaded.getAsBoolean() && mayVouchFor(beat.from())) {
            peers.send(beat.replyTo(), answer(beat));
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
        relayedUntil = Math.max(relayedUntil, sentAt + Math.min(vouch.remainingMillis(), FRESH_MS));
        if (vouch.accepted()) {
            relayedAcceptedVersion = Math.max(relayedAcceptedVersion, vouch.headVersion());
        }
        refreshStanding();
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
        standing.vouch(vouch.witness(), vouch.headVersion(), sentAt);
        detector.heard(vouch.witness(), sentAt);
        refreshStanding();
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
            standing.reset();
            relayedUntil = Long.MIN_VALUE;
        }
        noteRemoved();
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
        refreshStanding();
        rejoinIfRemoved();
        listeners.forEach(l -> l.accept(head));
        beat();
    }

    /**
     * Handles a refused connection, which proves that the daemon at that address has ended.
     * @param peerAddress address that refused
     */
    public void onRefused(String peerAddress) {
        for (Member member : everyoneConcerned()) {
            if (member.peerAddress().equals(peerAddress) && !member.id().equals(self.id())) {
                detector.refused(member.id());
                standing.provenDead(member.id());
            }
        }
        refreshStanding();
    }

    // Helpers

    /** Vouches as a witness, or passes on this daemon's own standing as a relay. */
    private PeerMessage answer(PeerMessage.Heartbeat beat) {
        if (isWitness()) {
            return new PeerMessage.Vouch(self.id(), head.version(), beat.sequence());
        }
        long remaining = inStanding() ? standingUntil - timers.nowMillis() : 0;
        return new PeerMessage.RelayedVouch(head.version(), beat.sequence(), remaining, headAccepted());
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
                timers.after(JOIN_RETRY_MS, this::join);
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
        standing = new Standing(self.id());
        join();
    }

    private void installAndSpread(Head stored) {
        install(stored);
        for (Member member : everyoneConcerned()) {
            if (!member.id().equals(self.id())) {
                peers.send(member.peerAddress(), new PeerMessage.HeadUpdate(head));
            }
        }
    }

    /** Sends every other heartbeat only, where relays are in use. */
    private void beatUnlessMany() {
        skippedBeat = Relays.inUse(head) && !skippedBeat;
        if (!skippedBeat) {
            beat();
        }
    }

    private void beat() {
        refreshStanding();
        if (timers.nowMillis() - lastBeatAt > 2 * HEARTBEAT_MS + PAUSE_MS) {
            detector.forgiveAll();
        }
        lastBeatAt = timers.nowMillis();
        if (!isMember()) {
            return;
        }
        sequence++;
        heartbeatSentAt.put(sequence, timers.nowMillis());
        if (heartbeatSentAt.size() > MAX_HEARTBEATS_PENDING) {
            heartbeatSentAt.remove(heartbeatSentAt.keySet().iterator().next());
        }
        PeerMessage beat =
                new PeerMessage.Heartbeat(self.id(), self.peerAddress(), head.version(), sequence, heardAsRelay());
        for (Member member : askedForVouches()) {
            if (!member.id().equals(self.id())) {
                peers.send(member.peerAddress(), beat);
            }
        }
        keeper.keep();
    }

    /** Lists the relay, or all witnesses where there is no relay or it does not answer. */
    private List<Member> askedForVouches() {
        Optional<Member> relay = Relays.relayOf(head, self);
        boolean relayAnswers = timers.nowMillis() - relayAnsweredAt <= RELAY_SILENT_MS;
        if (relay.isEmpty()) {
            return everyoneConcerned();
        }
        List<Member> asked = new ArrayList<>(List.of(relay.get()));
        if (!relayAnswers) {
            asked.addAll(everyoneConcerned());
        }
        return asked;
    }

    /** Lists the members heard lately, for witnesses that do not hear them themselves. */
    private List<String> heardAsRelay() {
        if (!Relays.inUse(head) || isWitness()) {
            return List.of();
        }
        return detector.heardDirectly(head, 2 * HEARTBEAT_MS);
    }

    /** Lists the witnesses and those of earlier sets that have yet to confirm. */
    private List<Member> everyoneConcerned() {
        Map<String, Member> concerned = new LinkedHashMap<>();
        head.witnesses().forEach(m -> concerned.put(m.id(), m));
        head.previousWitnesses().forEach(set -> set.forEach(m -> concerned.putIfAbsent(m.id(), m)));
        return List.copyOf(concerned.values());
    }

    private void readAsWitness() {
        if (isWitness()) {
            store.read(this::install);
        }
    }

    private void noteRemoved() {
        for (String id : head.removed()) {
            removedSeenAt.putIfAbsent(id, timers.nowMillis());
        }
        removedSeenAt.keySet().removeIf(id -> !head.removed().contains(id) && !mayStillRun(id));
        for (Member current : head.members()) {
            for (Member earlier : everyoneConcerned()) {
                if (earlier.vm().equals(current.vm()) && !earlier.id().equals(current.id())) {
                    standing.provenDead(earlier.id());
                }
            }
        }
    }

    private void refreshStanding() {
        standingUntil = Math.max(standing.until(head), relayedUntil);
        boolean now = inStanding();
        if (now) {
            lastStandingUntil = Math.max(lastStandingUntil, Math.min(standingUntil, timers.nowMillis() + FRESH_MS));
        }
        if (now == wasInStanding) {
            return;
        }
        wasInStanding = now;
        timeline.record(now ? EventKind.STANDING_GAINED : EventKind.STANDING_LOST, "version", head.version());
    }
}
