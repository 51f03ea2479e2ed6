package org.siskinlead.core.idempotency;

import java.util.Optional;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Ownership;

/** Spreads keys over shards and shards over recorders. */
final class KeyShards {
    /** Number of shards; with the least interval between writes of a shard it bounds the writes per second. */
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
