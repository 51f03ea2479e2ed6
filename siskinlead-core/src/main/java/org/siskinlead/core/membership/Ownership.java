package org.siskinlead.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Assigns each name an owner, and a backup that would own it next, by rendezvous hashing (Thaler and Ravishankar,
 * "Using name-based mappings to increase hit rates", 1998). Members that are not eligible as owners are used only while
 * no member is.
 */
public final class Ownership {
    private Ownership() {}

    /**
     * Finds the owner of a name.
     * @param head head with the candidate members
     * @param name name of what is owned, such as a team
     * @return the owner; empty without members
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
     * @param head head with the candidate members
     * @param name name of what is owned
     * @return the backup; empty with fewer than two candidates
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
