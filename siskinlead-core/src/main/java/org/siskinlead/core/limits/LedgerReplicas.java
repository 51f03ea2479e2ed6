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

/** Replicas of other owners' ledgers on their backup: for each team, an upper bound of the slots of each holder. */
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

    /** An epoch that has ended, with the owners that had copied their ledgers to this daemon. */
    private record EndedEpoch(Head head, Set<String> copiedFrom) {}

    // Queries

    boolean hasCopiesFrom(String owner) {
        return copiedFrom.contains(owner);
    }

    /** Tells whether this daemon had all allocations of the team's previous owner replicated. */
    boolean hadCompleteReplicaOf(String team) {
        Iterator<EndedEpoch> latestFirst = endedEpochs.descendingIterator();
        while (latestFirst.hasNext()) {
            EndedEpoch epoch = latestFirst.next();
            String owner =
                    Ownership.ownerOf(epoch.head(), team).map(m -> m.id()).orElse("");
            if (owner.equals(self)) {
                continue;
            }
            boolean wasBackup = Ownership.backupOf(epoch.head(), team)
                    .filter(m -> m.id().equals(self))
                    .isPresent();
            return wasBackup && epoch.copiedFrom().contains(owner);
        }
        return false;
    }

    // Commands

    /** Records a relayed allotment; false when a later one was recorded, so that this one must not be forwarded. */
    boolean onRelay(PeerMessage.AllotmentRelay relay) {
        Replica replica = replicas.computeIfAbsent(relay.allotment().team(), t -> new Replica());
        long ledger = relay.allotment().ledger();
        boolean later =
                ledger > replica.ledgerId || (ledger == replica.ledgerId && relay.number() > replica.relayNumber);
        if (!later) {
            return false;
        }
        replica.ledgerId = ledger;
        replica.relayNumber = relay.number();
        replica.charges.clear();
        replica.charges.putAll(relay.charges());
        replica.charges.merge(relay.holder(), relay.allotment().slots(), Math::max);
        return true;
    }

    /** Merges copies of all ledgers of an owner; larger charges recorded from relayed allotments are kept. */
    void onCopies(PeerMessage.LedgerCopies copies) {
        copiedFrom.add(copies.from());
        for (PeerMessage.LedgerCopy copy : copies.ledgers()) {
            Replica replica = replicas.computeIfAbsent(copy.team(), t -> new Replica());
            copy.charges().forEach((member, slots) -> replica.charges.merge(member, slots, Math::max));
        }
    }

    /** Starts an epoch and returns, by team, the complete replicas that this daemon had as backup in the ended one. */
    Map<String, Map<String, Integer>> startEpoch(Head ended, String selfId, boolean consecutive) {
        Map<String, Map<String, Integer>> inherited = new HashMap<>();
        self = selfId;
        if (consecutive) {
            replicas.forEach((team, replica) -> {
                String owner = Ownership.ownerOf(ended, team).map(m -> m.id()).orElse("");
                boolean wasBackup = Ownership.backupOf(ended, team)
                        .filter(m -> m.id().equals(selfId))
                        .isPresent();
                if (wasBackup && copiedFrom.contains(owner)) {
                    inherited.put(team, Map.copyOf(replica.charges));
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
