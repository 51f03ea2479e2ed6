package org.siskinlead.core.membership;

import java.util.List;
import java.util.Optional;

/**
 * Groups the members of a large cluster under relays, so that witnesses receive heartbeats from relays only. In a small
 * cluster every member sends heartbeats to the witnesses directly.
 */
final class Relays {
    /** Maximum cluster size without relays. */
    static final int MAX_DIRECT_MEMBERS = 12;

    private Relays() {}

    static boolean inUse(Head head) {
        return head.members().size() > MAX_DIRECT_MEMBERS;
    }

    /** Finds the relay of a member; empty when the member sends heartbeats to the witnesses directly. */
    static Optional<Member> relayOf(Head head, Member member) {
        if (!inUse(head) || isWitness(head, member)) {
            return Optional.empty();
        }
        int groups = groups(head);
        Optional<Member> relay = relay(head, Math.floorMod(member.vm().hashCode(), groups));
        boolean isRelay = isRelayOfAnyGroup(head, member, groups);
        return isRelay ? Optional.empty() : relay;
    }

    private static int groups(Head head) {
        return Integer.highestOneBit((int) Math.sqrt(head.members().size()));
    }

    private static boolean isRelayOfAnyGroup(Head head, Member member, int groups) {
        for (int group = 0; group < groups; group++) {
            if (relay(head, group).filter(r -> r.id().equals(member.id())).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static Optional<Member> relay(Head head, int group) {
        List<Member> candidates =
                head.members().stream().filter(m -> !isWitness(head, m)).toList();
        return Ownership.bestOf(candidates, "relay/" + group);
    }

    private static boolean isWitness(Head head, Member member) {
        return head.witnesses().stream().anyMatch(w -> w.id().equals(member.id()));
    }
}
