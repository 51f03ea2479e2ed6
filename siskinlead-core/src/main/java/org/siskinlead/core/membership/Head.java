package org.siskinlead.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The cluster state record. Every agreed change is a compare-and-swap of this record in the platform's store, which
 * puts all changes in one order.
 * @param version number that grows by one with each change
 * @param epoch number that grows by one when the members change
 * @param members daemons of the cluster
 * @param witnesses members whose majority grants quorum leases for this version
 * @param previousWitnesses earlier sets of witnesses; until they are cleared, a lease needs a majority of each too
 * @param removed identities removed without a graceful stop, whose requests may still be running
 * @param revision configuration revision, which grows by one with each configuration change
 * @param buckets key of the current configuration document of each bucket, a group of teams, by bucket name
 * @param marks identifiers of the latest writes to this record, newest last
 */
public record Head(
        long version,
        long epoch,
        List<Member> members,
        List<Member> witnesses,
        List<List<Member>> previousWitnesses,
        List<String> removed,
        long revision,
        Map<String, String> buckets,
        List<String> marks) {
    /** Maximum number of witnesses. */
    public static final int MAX_WITNESSES = 5;

    private static final int MAX_WRITE_IDS = 32;

    /** Head before any daemon has joined. */
    public static final Head EMPTY = new Head(0, 0, List.of(), List.of(), List.of(), List.of(), 0, Map.of(), List.of());

    /**
     * Finds a member by identity.
     * @param id identity of an incarnation
     * @return the member, if present
     */
    public Optional<Member> member(String id) {
        return members.stream().filter(m -> m.id().equals(id)).findFirst();
    }

    /**
     * Tells whether a write is among the recent ones.
     * @param writeId identifier of the write
     * @return true when the write is known to have taken effect
     */
    public boolean hasWriteId(String writeId) {
        return marks.contains(writeId);
    }

    /**
     * Adds a member, replacing any earlier incarnation on the same VM.
     * @param joining the new member
     * @return the changed head
     */
    public Head withMember(Member joining) {
        List<Member> next = new ArrayList<>();
        List<String> nextRemoved = new ArrayList<>(removed);
        for (Member member : members) {
            if (!member.vm().equals(joining.vm())) {
                next.add(member);
            } else if (!member.id().equals(joining.id())) {
                nextRemoved.add(member.id());
            }
        }
        next.add(joining);
        return withMembers(next, nextRemoved);
    }

    /**
     * Removes a member that stopped answering. Its identity is kept in {@link #removed}, as its requests may still run.
     * @param id identity of the member
     * @return the changed head
     */
    public Head withoutFailed(String id) {
        List<String> nextRemoved = new ArrayList<>(removed);
        nextRemoved.add(id);
        return withMembers(membersExcept(id), nextRemoved);
    }

    /**
     * Removes a member that stopped gracefully, with no requests left.
     * @param id identity of the member
     * @return the changed head
     */
    public Head withoutStopped(String id) {
        return withMembers(membersExcept(id), removed);
    }

    /**
     * Marks a member as draining.
     * @param id identity of the member
     * @return the changed head
     */
    public Head withDraining(String id) {
        List<Member> next = new ArrayList<>();
        for (Member member : members) {
            next.add(member.id().equals(id) ? member.asDraining() : member);
        }
        return new Head(version + 1, epoch + 1, next, witnesses, previousWitnesses, removed, revision, buckets, marks);
    }

    /**
     * Makes all members that are not draining eligible as owners.
     * @return the changed head
     */
    public Head withAllEligible() {
        List<Member> next = members.stream().map(Member::asEligibleOwner).toList();
        return new Head(version + 1, epoch + 1, next, witnesses, previousWitnesses, removed, revision, buckets, marks);
    }

    /**
     * Clears the earlier sets of witnesses, once a majority of each has vouched for a head with the present witnesses.
     * @return the changed head
     */
    public Head withoutPreviousWitnesses() {
        return new Head(version + 1, epoch, members, witnesses, List.of(), removed, revision, buckets, marks);
    }

    /**
     * Clears removed members whose requests have certainly ended.
     * @param ended identities to clear
     * @return the changed head
     */
    public Head withoutEndedRemovals(List<String> ended) {
        List<String> rest = removed.stream().filter(id -> !ended.contains(id)).toList();
        return new Head(version + 1, epoch, members, witnesses, previousWitnesses, rest, revision, buckets, marks);
    }

    /**
     * Points a bucket at a new configuration document.
     * @param bucket name of the bucket
     * @param document key of the document
     * @return the changed head, one configuration revision later
     */
    public Head withDocument(String bucket, String document) {
        Map<String, String> next = new TreeMap<>(buckets);
        next.put(bucket, document);
        return new Head(version + 1, epoch, members, witnesses, previousWitnesses, removed, revision + 1, next, marks);
    }

    /**
     * Records the identifier of the write that stores this head.
     * @param writeId identifier of the write
     * @return the head with that identifier
     */
    public Head withWriteId(String writeId) {
        List<String> next = new ArrayList<>(marks);
        next.add(writeId);
        List<String> latest = List.copyOf(next.subList(Math.max(0, next.size() - MAX_WRITE_IDS), next.size()));
        return new Head(version, epoch, members, witnesses, previousWitnesses, removed, revision, buckets, latest);
    }

    private List<Member> membersExcept(String id) {
        return members.stream().filter(m -> !m.id().equals(id)).toList();
    }

    private Head withMembers(List<Member> next, List<String> nextRemoved) {
        List<Member> chosen = chooseWitnesses(next);
        List<List<Member>> earlier = new ArrayList<>(previousWitnesses);
        if (!ids(chosen).equals(ids(witnesses)) && !witnesses.isEmpty()) {
            earlier.add(witnesses);
        }
        return new Head(
                version + 1, epoch + 1, List.copyOf(next), chosen, earlier, nextRemoved, revision, buckets, marks);
    }

    /** Keeps the present witnesses and adds members from the data centres that have the fewest witnesses. */
    private List<Member> chooseWitnesses(List<Member> from) {
        List<String> present = ids(witnesses);
        List<Member> chosen = new ArrayList<>();
        Map<String, Integer> perDataCentre = new HashMap<>();
        for (Member member : from) {
            if (present.contains(member.id())) {
                chosen.add(member);
                perDataCentre.merge(member.dataCentre(), 1, Integer::sum);
            }
        }
        while (chosen.size() < Math.min(MAX_WITNESSES, from.size())) {
            Member best = from.stream()
                    .filter(m -> !chosen.contains(m))
                    .min((a, b) -> Integer.compare(
                            perDataCentre.getOrDefault(a.dataCentre(), 0),
                            perDataCentre.getOrDefault(b.dataCentre(), 0)))
                    .orElseThrow();
            chosen.add(best);
            perDataCentre.merge(best.dataCentre(), 1, Integer::sum);
        }
        return List.copyOf(chosen);
    }

    private static List<String> ids(List<Member> members) {
        return members.stream().map(Member::id).toList();
    }
}
