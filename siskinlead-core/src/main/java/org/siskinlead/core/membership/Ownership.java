package org.siskinlead.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Assigns each name to one member, and to a deputy that would own it next, by rendezvous hashing (Thaler and
 * Ravishankar, 1998). Members that may not own yet count only while no other is there.
 */
public final class Ownership {
    private Ownership() {}

    /**
     * Finds the owner of a name.
     * @param head the head whose members share the names
     * @param name what is owned, such as a team's limit
     * @return the owner, if there are members
     */
    public static Optional<Member> ownerOf(Head head, String name) {
        return bestOf(candidates(head), name);
    }

    /** Finds the member with the highest score for a name. */
    static Optional<Member> bestOf(List<Member> candidates, String name) {
        return candidates.stream().max(Comparator.comparingLong(m -> score(m.id(), name)));
    }

    /**
     * Finds the member that would own a name if its owner were removed.
     * @param head the head whose members share the names
     * @param name what is owned
     * @return the deputy, if there are two members
     */
    public static Optional<Member> backupOf(Head head, String name) {
        Optional<Member> owner = ownerOf(head, name);
        return candidates(head).stream()
                .filter(m -> !m.id().equals(owner.map(Member::id).orElse("")))
                .max(Comparator.comparingLong(m -> score(m.id(), name)));
    }

    private static List<Member> candidates(Head head) {
        List<Member> owning = head.members().stream().filter(Member::mayOwn).toList();
        return owning.isEmpty() ? head.members() : owning;
    }

    private static long score(String id, String name) {
        CRC32 crc = new CRC32();
        crc.update(id.getBytes(StandardCharsets.UTF_8));
        crc.update('|');
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
        return mixed ^ (mixed >>> 29);
    }
}
