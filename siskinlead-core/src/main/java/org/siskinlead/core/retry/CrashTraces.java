package org.siskinlead.core.retry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.time.Timers;

/**
 * Stores on which targets the requests of other daemons run. A daemon that dies together with a target cannot report
 * the crash, but its backup still knows where the request ran. The backup is the next member in the order of names.
 */
final class CrashTraces {
    /** How long the traces of a lost daemon count: as long as the suspicions that its reports would have raised. */
    private static final long TRACE_TTL_MS = CrashGuard.SUSPICION_TTL_MS;

    /**
     * Interval at which ended requests are sent in one batch, so that a request costs one message more and not two.
     * Equal to the interval at which crash reports are resent.
     */
    private static final long END_BATCH_INTERVAL_MS = 100;

    private static final int MAX_REMOTE_TRACES = 10_000;

    private final Membership membership;
    private final Peers peers;
    private final Timers timers;
    private final Map<String, PeerMessage.CrashTrace> localTraces = new LinkedHashMap<>();
    private final List<String> endedRequests = new ArrayList<>();
    private final Map<String, RemoteTrace> remoteTraces = new LinkedHashMap<>();
    private String backupId = "";

    private record RemoteTrace(PeerMessage.CrashTrace trace, long expiresAt) {}

    private CrashTraces(Membership membership, Peers peers, Timers timers) {
        this.membership = membership;
        this.peers = peers;
        this.timers = timers;
    }

    static CrashTraces of(Membership membership, Peers peers, Timers timers) {
        CrashTraces traces = new CrashTraces(membership, peers, timers);
        membership.onHead(traces::onHead);
        timers.every(END_BATCH_INTERVAL_MS, traces::expireAndFlush);
        return traces;
    }

    // Queries

    /**
     * Passes on each target on which a daemon other than the reporter runs a request, or ran it when the daemon was
     * lost.
     */
    void forEachTargetOfOthers(String fingerprint, String reporter, BiConsumer<String, String> use) {
        for (RemoteTrace each : remoteTraces.values()) {
            PeerMessage.CrashTrace trace = each.trace();
            if (trace.fingerprint().equals(fingerprint) && !trace.from().equals(reporter)) {
                trace.targets().forEach(target -> use.accept(fingerprint, target));
            }
        }
    }

    // Commands

    /** Sends the backup the targets on which a request of this daemon is about to run. */
    void begin(String request, String fingerprint, List<String> instanceIds) {
        PeerMessage.CrashTrace trace =
                new PeerMessage.CrashTrace(membership.self().id(), request, fingerprint, instanceIds);
        localTraces.put(request, trace);
        sendToBackup(trace);
    }

    /** Records that a request of this daemon has ended. */
    void end(String request) {
        if (localTraces.remove(request) != null) {
            endedRequests.add(request);
        }
    }

    void onTrace(PeerMessage.CrashTrace trace) {
        remoteTraces.put(
                trace.from() + " " + trace.request(), new RemoteTrace(trace, timers.nowMillis() + TRACE_TTL_MS));
        if (remoteTraces.size() > MAX_REMOTE_TRACES) {
            remoteTraces.remove(remoteTraces.keySet().iterator().next());
        }
    }

    void onEnded(PeerMessage.CrashTracesEnded message) {
        message.requests().forEach(request -> remoteTraces.remove(message.from() + " " + request));
    }

    // Helpers

    private void onHead(Head head) {
        String next = backupIn(head).map(Member::id).orElse("");
        if (!next.equals(backupId)) {
            backupId = next;
            localTraces.values().forEach(this::sendToBackup);
        }
    }

    private void expireAndFlush() {
        long now = timers.nowMillis();
        remoteTraces.values().removeIf(t -> t.expiresAt() <= now);
        if (!endedRequests.isEmpty()) {
            sendToBackup(new PeerMessage.CrashTracesEnded(membership.self().id(), List.copyOf(endedRequests)));
            endedRequests.clear();
        }
    }

    private void sendToBackup(PeerMessage message) {
        backupIn(membership.head()).ifPresent(backup -> peers.send(backup.peerAddress(), message));
    }

    /** Returns the member after this daemon in the order of names, or the first one after the last. */
    private Optional<Member> backupIn(Head head) {
        String self = membership.self().id();
        List<Member> others = head.members().stream()
                .filter(member -> !member.id().equals(self))
                .sorted(Comparator.comparing(Member::id))
                .toList();
        return others.stream()
                .filter(member -> member.id().compareTo(self) > 0)
                .findFirst()
                .or(() -> others.stream().findFirst());
    }
}
