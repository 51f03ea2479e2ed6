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
 * Records claims and results of the shards that this daemon serves, many in one write. A claim counts only once a
 * compare-and-swap has stored it, so a recorder that was replaced without knowing it can grant nothing.
 */
public final class KeyRecorder {
    /** How long a key is kept. */
    public static final long RETENTION_MS = 24L * 3_600_000;
    /** Least time between two writes of a shard. */
    public static final long MIN_WRITE_INTERVAL_MS = 50;

    private static final long PENDING_LIFE_MS = 1_500;
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
     * Creates a recorder that follows the membership.
     * @param membership tells which shards are served here
     * @param store the platform's key-value service
     * @param peers way to the claimants
     * @param timers time
     * @param timeline where events go
     * @return the recorder
     */
    public static KeyRecorder of(
            Membership membership, KeyValueStore store, Peers peers, Timers timers, Timeline timeline) {
        KeyRecorder recorder = new KeyRecorder(membership, store, peers, timers, timeline);
        membership.onHead(recorder::onHead);
        return recorder;
    }

    /**
     * Takes a claim.
     * @param claim the claim
     */
    public void onClaim(PeerMessage.ClaimRequest claim) {
        Shard shard = shardOf(claim.key());
        if (shard != null) {
            shard.onClaim(claim);
        }
    }

    /**
     * Takes a result.
     * @param result the result
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
        return KeyShards.recorder(membership.head(), shard)
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

    private record Pending(PeerMessage.ClaimRequest claim, long since) {}

    private final class Shard {
        private final String storeKey;
        private final Map<String, Pending> claims = new LinkedHashMap<>();
        private final Map<String, PeerMessage.ClaimResult> results = new LinkedHashMap<>();
        private Map<String, KeyRecord> records = Map.of();
        private long version = -1;
        private boolean busy;
        private boolean scheduled;
        private long lastWriteAt = Long.MIN_VALUE / 2;

        Shard(int number) {
            this.storeKey = KeyShards.storeKey(number);
        }

        void onClaim(PeerMessage.ClaimRequest claim) {
            if (version >= 0 && decideKnown(claim)) {
                return;
            }
            Pending other = claims.get(claim.key());
            if (other == null) {
                claims.put(claim.key(), new Pending(claim, timers.nowMillis()));
            } else if (!other.claim().claim().equals(claim.claim())) {
                answer(claim, ClaimVerdict.IN_PROGRESS, null);
                return;
            }
            schedule();
        }

        void onResult(PeerMessage.ClaimResult result) {
            results.put(result.record().claim(), result);
            schedule();
        }

        /** Answers a claim from what is recorded; false when nothing is. */
        private boolean decideKnown(PeerMessage.ClaimRequest claim) {
            KeyRecord known = records.get(claim.key());
            if (known == null || known.state() == KeyRecord.State.NOT_RUN) {
                return false;
            }
            if (!known.fingerprint().equals(claim.fingerprint())) {
                answer(claim, ClaimVerdict.MISMATCH, null);
            } else if (known.state() == KeyRecord.State.DONE) {
                answer(claim, ClaimVerdict.DONE, known);
            } else if (known.claim().equals(claim.claim()) && known.state() == KeyRecord.State.CLAIMED) {
                answer(claim, ClaimVerdict.SEND, known);
            } else if (known.state() == KeyRecord.State.CLAIMED
                    && membership.head().member(known.owner()).isPresent()) {
                answer(claim, ClaimVerdict.IN_PROGRESS, null);
                askOwner(claim.key(), known);
            } else {
                answer(claim, ClaimVerdict.UNKNOWN, known);
            }
            return true;
        }

        /** Asks the owner of a claim whether it still means to send the call. */
        private void askOwner(String key, KeyRecord known) {
            membership
                    .head()
                    .member(known.owner())
                    .ifPresent(m -> peers.send(m.peerAddress(), new PeerMessage.ClaimQuery(key, known)));
        }

        private void schedule() {
            if (busy || scheduled) {
                return;
            }
            scheduled = true;
            long wait = Math.max(0, lastWriteAt + MIN_WRITE_INTERVAL_MS - timers.nowMillis());
            timers.after(wait, () -> {
                scheduled = false;
                flush();
            });
        }

        private void flush() {
            if (busy) {
                return;
            }
            dropAbandoned();
            if (claims.isEmpty() && results.isEmpty()) {
                return;
            }
            if (!membership.isActive()) {
                refuseAll();
                return;
            }
            busy = true;
            lastWriteAt = timers.nowMillis();
            if (version < 0) {
                load();
            } else {
                write();
            }
        }

        private void load() {
            store.read(storeKey, KeySegment.class, this::onLoaded, () -> {
                busy = false;
                refuseAll();
            });
        }

        private void onLoaded(Versioned<KeySegment> read) {
            KeySegment segment = read.value();
            version = read.version();
            records = segment == null ? Map.of() : segment.records();
            busy = false;
            List<Pending> waiting = new ArrayList<>(claims.values());
            for (Pending pending : waiting) {
                if (decideKnown(pending.claim())) {
                    claims.remove(pending.claim().key());
                }
            }
            schedule();
        }

        private void write() {
            Map<String, KeyRecord> next = new TreeMap<>(records);
            long now = timers.wallMillis();
            next.values().removeIf(r -> now - r.wallMillis() > RETENTION_MS);
            Map<String, PeerMessage.ClaimResult> resultsWritten = new LinkedHashMap<>(results);
            resultsWritten.values().forEach(r -> applyResult(next, r));
            Map<String, Pending> claimsWritten = new LinkedHashMap<>(claims);
            claimsWritten.forEach((key, pending) -> next.put(
                    key,
                    KeyRecord.claimed(
                            pending.claim().claim(),
                            pending.claim().owner(),
                            pending.claim().fingerprint(),
                            now)));
            if (sizeOf(next) > KeyValueStore.MAX_VALUE_BYTES) {
                busy = false;
                refuseAll();
                return;
            }
            store.compareAndSet(
                    storeKey,
                    version,
                    new KeySegment(next),
                    result -> onWritten(result, next, claimsWritten, resultsWritten));
        }

        /** Applies a result to the claim that it belongs to; a result of another claim changes nothing. */
        private static void applyResult(Map<String, KeyRecord> next, PeerMessage.ClaimResult result) {
            KeyRecord known = next.get(result.key());
            if (known == null || !known.claim().equals(result.record().claim())) {
                return;
            }
            if (result.record().state() == KeyRecord.State.NOT_RUN) {
                if (known.state() == KeyRecord.State.CLAIMED) {
                    next.remove(result.key());
                }
            } else if (known.state() != KeyRecord.State.DONE) {
                next.put(result.key(), result.record());
            }
        }

        private void onWritten(
                WriteResult result,
                Map<String, KeyRecord> next,
                Map<String, Pending> claimsWritten,
                Map<String, PeerMessage.ClaimResult> resultsWritten) {
            busy = false;
            if (result.outcome() != WriteOutcome.WRITTEN) {
                version = -1;
                if (result.outcome() == WriteOutcome.CONFLICT) {
                    schedule();
                } else {
                    timers.after(MIN_WRITE_INTERVAL_MS, this::schedule);
                }
                return;
            }
            version = result.version();
            records = next;
            claimsWritten.forEach((key, pending) -> {
                claims.remove(key, pending);
                timeline.record(EventKind.KEY_CLAIMED, "claim", pending.claim().claim());
                answer(pending.claim(), ClaimVerdict.SEND, next.get(key));
            });
            resultsWritten.forEach((claim, stored) -> {
                results.remove(claim, stored);
                timeline.record(
                        EventKind.KEY_RESOLVED,
                        "claim",
                        claim,
                        "state",
                        stored.record().state());
                peers.send(stored.replyTo(), new PeerMessage.ClaimResultStored(stored.key(), claim));
            });
            schedule();
        }

        private void dropAbandoned() {
            long now = timers.nowMillis();
            claims.values().removeIf(p -> now - p.since() > PENDING_LIFE_MS);
        }

        private void refuseAll() {
            claims.values().forEach(p -> answer(p.claim(), ClaimVerdict.UNAVAILABLE, null));
            claims.clear();
        }

        private void answer(PeerMessage.ClaimRequest claim, ClaimVerdict verdict, @Nullable KeyRecord known) {
            peers.send(claim.replyTo(), new PeerMessage.ClaimReply(claim.claim(), verdict, known));
        }

        private static long sizeOf(Map<String, KeyRecord> segment) {
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
