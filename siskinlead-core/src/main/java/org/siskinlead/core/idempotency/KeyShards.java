package org.siskinlead.core.idempotency;

import java.util.Optional;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Ownership;

/** Maps keys to shards by hash, and shards to the daemons that record them. */
final class KeyShards {
    /**
     * Number of shards; together with {@link KeyRecorder#MIN_WRITE_INTERVAL_MS} it bounds the store writes per second.
     */
    static final int COUNT = 8;

    private KeyShards() {}

    static String storeKey(int shard) {
        return "keys/" + shard;
    }

    static int shardOf(String key) {
        return Math.floorMod(key.hashCode(), COUNT);
    }

    static Optional<Member> recorderOf(Head head, int shard) {
        return Ownership.ownerOf(head, storeKey(shard));
    }
}
