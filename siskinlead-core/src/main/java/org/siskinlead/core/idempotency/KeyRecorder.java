package org.siskinlead.core.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.platform.Versioned;
import org.siskinlead.core.platform.WriteOutcome;
import org.siskinlead.core.platform.WriteResult;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Records the claims and results of the shards that this daemon owns, batching many into one write. A claim is granted
 * only after a compare-and-swap has stored it, so a recorder that was replaced without noticing cannot grant any.
 */
public final class KeyRecorder {
    /** Time for which a key is kept after it was claimed. */
    public static final long RETENTION_MS = 24L * 3_600_000;
    /** Minimum interval between two writes of a shard. */
    public static final long MIN_WRITE_INTERVAL_MS = 50;

    private static final long PENDING_CLAIM_TTL_MS = 1_500;
    private static final int RECORD_OVERHEAD_BYTES = 400;

    private final Membership membership;
    private final KeyValueStore store;
    private final Peers peers;
    private final Timers timers;
    private final Timeline timeline;
    private final Map<Integer, Shard> shards = new HashMap<>();

    private KeyRecorder(Membership membership, KeyValueStore store, Peers peers, Timers timers, Timeline timeline) {
        this.membership = membership;
        this.store = store;
        this.peers = peers;
        this.timers = timers;
        this.timeline = timeline;
    }

    /**
     * Creates a recorder and subscribes it to the membership's heads.
     * @param membership identifies the shards that this daemon owns
     * @param store the platform's key-value service
     * @param peers sends messages to the claimants
     * @param timers clock and timers of the decision thread
     * @param timeline records claims and results
     * @return the recorder, with no shard loaded
     */
    public static KeyRecorder of(
            Membership membership, KeyValueStore store, Peers peers, Timers timers, Timeline timeline) {
        KeyRecorder recorder = new KeyRecorder(membership, store, peers, timers, timeline);
        membership.onHead(recorder::onHead);
        return recorder;
    }

    /**
     * Handles a claim; ignores it when this daemon is inactive or does not own the key's shard.
     * @param claim claim of a key, possibly resent
     */
    public void onClaim(PeerMessage.ClaimRequest claim) {
        Shard shard = shardOf(claim.key());
        if (shard != null) {
            shard.onClaim(claim);
        }
    }

    /**
     * Handles a result; ignores it when this daemon is inactive or does not own the key's shard.
     * @param result result of a claimed call, possibly resent
     */
    public void onResult(PeerMessage.ClaimResult result) {
        Shard shard = shardOf(result.key());
        if (shard != null) {
            shard.onResult(result);
        }
    }

    private void onHead(Head head) {
        shards.keySet().removeIf(shard -> !serves(shard));
    }

    private boolean serves(int shard) {
        return KeyShards.recorderOf(membership.head(), shard)
                .filter(m -> m.id().equals(membership.self().id()))
                .isPresent();
    }

    private @Nullable Shard shardOf(String key) {
        int number = KeyShards.shardOf(key);
        if (!membership.isActive() || !serves(number)) {
            return null;
        }
        return shards.computeIfAbsent(number, Shard::new);
    }

    private record PendingClaim(PeerMessage.ClaimRequest claim, long receivedAtMillis) {}

    private final class Shard {
        private final String storeKey;
        private final Map<String, PendingClaim> pendingClaims = new LinkedHashMap<>();
        private final Map<String, PeerMessage.ClaimResult> pendingResults = new LinkedHashMap<>();
        private Map<String, KeyRecord> records = Map.of();
        private long version = -1;
        private boolean storeCallInProgress;
        private boolean flushScheduled;
        private long lastWriteAtMillis = Long.MIN_VALUE / 2;

        Shard(int number) {
            this.storeKey = KeyShards.storeKey(number);
        }

        void onClaim(PeerMessage.ClaimRequest claim) {
            if (version >= 0 && answerFromRecord(claim)) {
                return;
            }
            PendingClaim other = pendingClaims.get(claim.key());
            if (other == null) {
                pendingClaims.put(claim.key(), new PendingClaim(claim, timers.nowMillis()));
            } else if (!other.claim().claim().equals(claim.claim())) {
                answer(claim, ClaimVerdict.IN_PROGRESS, null);
                return;
            }
            scheduleFlush();
        }

        void onResult(PeerMessage.ClaimResult result) {
            pendingResults.put(result.record().claim(), result);
            scheduleFlush();
        }

        /** Answers a claim from the key's record; returns false when there is none or the call was not run. */
        private boolean answerFromRecord(PeerMessage.ClaimRequest claim) {
            KeyRecord existing = records.get(claim.key());
            if (existing == null || existing.state() == KeyRecord.State.NOT_RUN) {
                return false;
            }
            if (!existing.fingerprint().equals(claim.fingerprint())) {
                answer(claim, ClaimVerdict.MISMATCH, null);
            } else if (existing.state() == KeyRecord.State.DONE) {
                answer(claim, ClaimVerdict.DONE, existing);
            } else if (existing.claim().equals(claim.claim()) && existing.state() == KeyRecord.State.CLAIMED) {
                answer(claim, ClaimVerdict.SEND, existing);
            } else if (existing.state() == KeyRecord.State.CLAIMED
                    && membership.head().member(existing.owner()).isPresent()) {
                answer(claim, ClaimVerdict.IN_PROGRESS, null);
                queryOwner(claim.key(), existing);
            } else {
                answer(claim, ClaimVerdict.UNKNOWN, existing);
            }
            return true;
        }

        /** Asks the owner of a claim whether it still intends to send the call. */
        private void queryOwner(String key, KeyRecord existing) {
            membership
                    .head()
                    .member(existing.owner())
                    .ifPresent(m -> peers.send(m.peerAddress(), new PeerMessage.ClaimQuery(key, existing)));
        }

        private void scheduleFlush() {
            if (storeCallInProgress || flushScheduled) {
                return;
            }
            flushScheduled = true;
            long delayMillis = Math.max(0, lastWriteAtMillis + MIN_WRITE_INTERVAL_MS - timers.nowMillis());
            timers.after(delayMillis, () -> {
                flushScheduled = false;
                flush();
            });
        }

        private void flush() {
            if (storeCallInProgress) {
                return;
            }
            dropExpiredClaims();
            if (pendingClaims.isEmpty() && pendingResults.isEmpty()) {
                return;
            }
            if (!membership.isActive()) {
                rejectPendingClaims();
                return;
            }
            storeCallInProgress = true;
            lastWriteAtMillis = timers.nowMillis();
            if (version < 0) {
                load();
            } else {
                write();
            }
        }

        private void load() {
            store.read(storeKey, KeySegment.class, this::onLoaded, () -> {
                storeCallInProgress = false;
                rejectPendingClaims();
            });
        }

        private void onLoaded(Versioned<KeySegment> read) {
            KeySegment segment = read.value();
            version = read.version();
            records = segment == null ? Map.of() : segment.records();
            storeCallInProgress = false;
            List<PendingClaim> waiting = new ArrayList<>(pendingClaims.values());
            for (PendingClaim pending : waiting) {
                if (answerFromRecord(pending.claim())) {
                    pendingClaims.remove(pending.claim().key());
                }
            }
            scheduleFlush();
        }

        private void write() {
            Map<String, KeyRecord> next = new TreeMap<>(records);
            long now = timers.wallMillis();
            next.values().removeIf(r -> now - r.wallMillis() > RETENTION_MS);
            Map<String, PeerMessage.ClaimResult> resultsWritten = new LinkedHashMap<>(pendingResults);
            resultsWritten.values().forEach(r -> applyResult(next, r));
            Map<String, PendingClaim> claimsWritten = new LinkedHashMap<>(pendingClaims);
            claimsWritten.forEach((key, pending) -> next.put(
                    key,
                    KeyRecord.claimed(
                            pending.claim().claim(),
                            pending.claim().owner(),
                            pending.claim().fingerprint(),
                            now)));
            if (estimateBytes(next) > KeyValueStore.MAX_VALUE_BYTES) {
                storeCallInProgress = false;
                rejectPendingClaims();
                return;
            }
            store.compareAndSet(
                    storeKey,
                    version,
                    new KeySegment(next),
                    result -> onWritten(result, next, claimsWritten, resultsWritten));
        }

        /** Applies a result to the record of its claim; ignores a result of another claim. */
        private static void applyResult(Map<String, KeyRecord> next, PeerMessage.ClaimResult result) {
            KeyRecord existing = next.get(result.key());
            if (existing == null || !existing.claim().equals(result.record().claim())) {
                return;
            }
            if (result.record().state() == KeyRecord.State.NOT_RUN) {
                if (existing.state() == KeyRecord.State.CLAIMED) {
                    next.remove(result.key());
                }
            } else if (existing.state() != KeyRecord.State.DONE) {
                next.put(result.key(), result.record());
            }
        }

        private void onWritten(
                WriteResult result,
                Map<String, KeyRecord> next,
                Map<String, PendingClaim> claimsWritten,
                Map<String, PeerMessage.ClaimResult> resultsWritten) {
            storeCallInProgress = false;
            if (result.outcome() != WriteOutcome.WRITTEN) {
                version = -1;
                if (result.outcome() == WriteOutcome.CONFLICT) {
                    scheduleFlush();
                } else {
                    timers.after(MIN_WRITE_INTERVAL_MS, this::scheduleFlush);
                }
                return;
            }
            version = result.version();
            records = next;
            claimsWritten.forEach((key, pending) -> {
                pendingClaims.remove(key, pending);
                timeline.record(EventKind.KEY_CLAIMED, "claim", pending.claim().claim());
                answer(pending.claim(), ClaimVerdict.SEND, next.get(key));
            });
            resultsWritten.forEach((claim, stored) -> {
                pendingResults.remove(claim, stored);
                timeline.record(
                        EventKind.KEY_RESOLVED,
                        "claim",
                        claim,
                        "state",
                        stored.record().state());
                peers.send(stored.replyTo(), new PeerMessage.ClaimResultStored(stored.key(), claim));
            });
            scheduleFlush();
        }

        private void dropExpiredClaims() {
            long now = timers.nowMillis();
            pendingClaims.values().removeIf(p -> now - p.receivedAtMillis() > PENDING_CLAIM_TTL_MS);
        }

        private void rejectPendingClaims() {
            pendingClaims.values().forEach(p -> answer(p.claim(), ClaimVerdict.UNAVAILABLE, null));
            pendingClaims.clear();
        }

        private void answer(PeerMessage.ClaimRequest claim, ClaimVerdict verdict, @Nullable KeyRecord existing) {
            peers.send(claim.replyTo(), new PeerMessage.ClaimReply(claim.claim(), verdict, existing));
        }

        private static long estimateBytes(Map<String, KeyRecord> segment) {
            long size = 0;
            for (Map.Entry<String, KeyRecord> entry : segment.entrySet()) {
                size += RECORD_OVERHEAD_BYTES
                        + entry.getKey().length()
                        + 2L * entry.getValue().body().length();
            }
            return size;
        }
    }
}
