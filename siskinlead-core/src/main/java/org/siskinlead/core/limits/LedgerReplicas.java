package org.siskinlead.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Ownership;
import org.siskinlead.core.peer.PeerMessage;

/** What a deputy knows of the ledgers that it would inherit: for each team an upper bound of what each holder holds. */
final class LedgerReplicas {
    private static final int MAX_ENDED_EPOCHS = 8;

    private final Map<String, Replica> replicas = new HashMap<>();
    private final Deque<EndedEpoch> endedEpochs = new ArrayDeque<>();
    private Set<String> copiedFrom = new HashSet<>();
    private String self = "";

    private static final class Replica {
        private final Map<String, Integer> charges = new HashMap<>();
        private long ledgerId = -1;
        private long relayNumber = -1;
    }

    /** An epoch that has ended, with the owners whose ledgers were copied here in it. */
    private record EndedEpoch(Head head, Set<String> copiedFrom) {}

    // Queries

    boolean hasCopiesFrom(String owner) {
        return copiedFrom.contains(owner);
    }

    /** Tells whether all that the owner before this daemon had lent of a team was known here. */
    boolean hadCompleteReplicaOf(String team) {
        Iterator<EndedEpoch> latestFirst = endedEpochs.descendingIterator();
        while (latestFirst.hasNext()) {
            EndedEpoch epoch = latestFirst.next();
            String owner =
                    Ownership.ownerOf(epoch.head(), team).map(m -> m.id()).orElse("");
            if (owner.equals(self)) {
                continue;
            }
            boolean wasDeputy = Ownership.backupOf(epoch.head(), team)
                    .filter(m -> m.id().equals(self))
                    .isPresent();
            return wasDeputy && epoch.copiedFrom().contains(owner);
        }
        return false;
    }

    // Commands

    /** Notes an allotment on its way; false when a later one has been noted and this one must not go on. */
    boolean onRelay(PeerMessage.AllotmentRelay relay) {
        Replica shadow = replicas.computeIfAbsent(relay.allotment().team(), t -> new Replica());
        long ledger = relay.allotment().ledger();
        boolean later = ledger > shadow.ledgerId || (ledger == shadow.ledgerId && relay.number() > shadow.relayNumber);
        if (!later) {
            return false;
        }
        shadow.ledgerId = ledger;
        shadow.relayNumber = relay.number();
        shadow.charges.clear();
        shadow.charges.putAll(relay.charges());
        shadow.charges.merge(relay.holder(), relay.allotment().slots(), Math::max);
        return true;
    }

    /** Notes all that an owner has lent; teams that were relayed since keep what was noted. */
    void onCopies(PeerMessage.LedgerCopies copies) {
        copiedFrom.add(copies.from());
        for (PeerMessage.LedgerCopy copy : copies.ledgers()) {
            Replica shadow = replicas.computeIfAbsent(copy.team(), t -> new Replica());
            copy.charges().forEach((member, slots) -> shadow.charges.merge(member, slots, Math::max));
        }
    }

    /** Begins an epoch and gives what was known of teams whose owner is now this daemon or another. */
    Map<String, Map<String, Integer>> startEpoch(Head ended, String selfId, boolean consecutive) {
        Map<String, Map<String, Integer>> inherited = new HashMap<>();
        self = selfId;
        if (consecutive) {
            replicas.forEach((team, shadow) -> {
                String owner = Ownership.ownerOf(ended, team).map(m -> m.id()).orElse("");
                boolean wasDeputy = Ownership.backupOf(ended, team)
                        .filter(m -> m.id().equals(selfId))
                        .isPresent();
                if (wasDeputy && copiedFrom.contains(owner)) {
                    inherited.put(team, Map.copyOf(shadow.charges));
                }
            });
            endedEpochs.addLast(new EndedEpoch(ended, copiedFrom));
        } else {
            endedEpochs.clear();
        }
        if (endedEpochs.size() > MAX_ENDED_EPOCHS) {
            endedEpochs.removeFirst();
        }
        copiedFrom = new HashSet<>();
        replicas.clear();
        return inherited;
    }
}
