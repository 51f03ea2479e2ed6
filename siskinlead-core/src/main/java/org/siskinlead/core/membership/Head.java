package org.siskinlead.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The one record that orders every agreed change; each change is a compare-and-swap of it in the platform's service.
 * @param version grows by one with each change
 * @param epoch grows by one when the members change
 * @param members daemons of the system
 * @param witnesses members that vouch for this version
 * @param previousWitnesses earlier sets of witnesses that must still confirm they have stopped vouching
 * @param removed identities removed without a graceful stop; their work may still be running
 * @param revision configuration revision
 * @param buckets key of the current configuration document of each bucket
 * @param marks identifiers of the latest writes, newest last
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
    /** Most members that vouch. */
    public static final int MAX_WITNESSES = 5;

    private static final int MAX_WRITE_IDS = 32;

    /** The head before any daemon has joined. */
    public static final Head EMPTY = new Head(0, 0, List.of(), List.of(), List.of(), List.of(), 0, Map.of(), List.of());

    /**
     * Finds a member by its identity.
     * @param id identity of an incarnation
     * @return the member, if present
     */
    public Optional<Member> member(String id) {
        return members.stream().filter(m -> m.id().equals(id)).findFirst();
    }

    /**
     * Tells whether a write is among the latest.
     * @param writeId identifier of the write
     * @return true when the write took effect
     */
    public boolean hasWriteId(String writeId) {
        return marks.contains(writeId);
    }

    /**
     * Adds a member, in place of any earlier incarnation on the same VM.
     * @param joining the new member
     * @return the changed head
     */
    public Head withMember(Member joining) {
        List<Member> next = new ArrayList<>();
        List<String> gone = new ArrayList<>(removed);
        for (Member member : members) {
            if (!member.vm().equals(joining.vm())) {
                next.add(member);
            } else if (!member.id().equals(joining.id())) {
                gone.add(member.id());
            }
        }
        next.add(joining);
        return withMembers(next, gone);
    }

    /**
     * Removes a member that stopped answering.
     * @param id identity of the member
     * @return the changed head
     */
    public Head withoutFailed(String id) {
        List<String> gone = new ArrayList<>(removed);
        gone.add(id);
        return withMembers(membersExcept(id), gone);
    }

    /**
     * Removes a member that has finished all its work.
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
     * Lets all members own limits and shards.
     * @return the changed head
     */
    public Head withAllEligible() {
        List<Member> next = members.stream().map(Member::asEligibleOwner).toList();
        return new Head(version + 1, epoch + 1, next, witnesses, previousWitnesses, removed, revision, buckets, marks);
    }

    /**
     * Forgets earlier sets of witnesses once this version is confirmed by all of them.
     * @return the changed head
     */
    public Head withoutPreviousWitnesses() {
        return new Head(version + 1, epoch, members, witnesses, List.of(), removed, revision, buckets, marks);
    }

    /**
     * Forgets removed members whose work has certainly ended.
     * @param ended identities to forget
     * @return the changed head
     */
    public Head withoutEndedRemovals(List<String> ended) {
        List<String> rest = removed.stream().filter(id -> !ended.contains(id)).toList();
        return new Head(version + 1, epoch, members, witnesses, previousWitnesses, rest, revision, buckets, marks);
    }

    /**
     * Points a bucket at a new configuration document.
     * @param bucket number of the bucket
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
     * @return the marked head
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

    private Head withMembers(List<Member> next, List<String> gone) {
        List<Member> chosen = chooseWitnesses(next);
        List<List<Member>> earlier = new ArrayList<>(previousWitnesses);
        if (!ids(chosen).equals(ids(witnesses)) && !witnesses.isEmpty()) {
            earlier.add(witnesses);
        }
        return new Head(version + 1, epoch + 1, List.copyOf(next), chosen, earlier, gone, revision, buckets, marks);
    }

    /** Keeps the present witnesses and fills up from the data centres with the fewest. */
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
