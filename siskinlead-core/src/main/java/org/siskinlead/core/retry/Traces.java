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
 * Keeps, for one other daemon, on which targets its requests run. A daemon that dies together with a target can report
 * no crash; its keeper can still tell where the request had been. Each daemon tells the next one in the order of names.
 */
final class Traces {
    /** How long the traces of a lost daemon count; as long as the suspicion that they would have become. */
    private static final long LIFE_MS = CrashGuard.SUSPICION_MS;

    /** Ends are told together, so that a request costs one message more and not two; as often as reports are resent. */
    private static final long END_MS = 100;

    private static final int MAX_KEPT = 10_000;

    private final Membership membership;
    private final Peers peers;
    private final Timers timers;
    private final Map<String, PeerMessage.CrashTrace> own = new LinkedHashMap<>();
    private final List<String> ended = new ArrayList<>();
    private final Map<String, Kept> kept = new LinkedHashMap<>();
    private String keeper = "";

    private record Kept(PeerMessage.CrashTrace trace, long until) {}

    private Traces(Membership membership, Peers peers, Timers timers) {
        this.membership = membership;
        this.peers = peers;
        this.timers = timers;
    }

    static Traces of(Membership membership, Peers peers, Timers timers) {
        Traces traces = new Traces(membership, peers, timers);
        membership.onHead(traces::onHead);
        timers.every(END_MS, traces::tick);
        return traces;
    }

    // Queries

    /** Passes each target on which another daemon than the reporter runs a request, or ran it when it was lost. */
    void forEachElsewhere(String fingerprint, String reporter, BiConsumer<String, String> use) {
        for (Kept each : kept.values()) {
            PeerMessage.CrashTrace trace = each.trace();
            if (trace.fingerprint().equals(fingerprint) && !trace.from().equals(reporter)) {
                trace.targets().forEach(target -> use.accept(fingerprint, target));
            }
        }
    }

    // Commands

    /** Tells the keeper where a request of this daemon begins to run. */
    void begin(String request, String fingerprint, List<String> targets) {
        PeerMessage.CrashTrace trace =
                new PeerMessage.CrashTrace(membership.self().id(), request, fingerprint, targets);
        own.put(request, trace);
        tell(trace);
    }

    /** Notes that a request of this daemon has ended. */
    void end(String request) {
        if (own.remove(request) != null) {
            ended.add(request);
        }
    }

    void onTrace(PeerMessage.CrashTrace trace) {
        kept.put(trace.from() + " " + trace.request(), new Kept(trace, timers.nowMillis() + LIFE_MS));
        if (kept.size() > MAX_KEPT) {
            kept.remove(kept.keySet().iterator().next());
        }
    }

    void onEnded(PeerMessage.CrashTracesEnded message) {
        message.requests().forEach(request -> kept.remove(message.from() + " " + request));
    }

    // Helpers

    private void onHead(Head head) {
        String next = keeperIn(head).map(Member::id).orElse("");
        if (!next.equals(keeper)) {
            keeper = next;
            own.values().forEach(this::tell);
        }
    }

    private void tick() {
        long now = timers.nowMillis();
        kept.values().removeIf(k -> k.until() <= now);
        if (!ended.isEmpty()) {
            tell(new PeerMessage.CrashTracesEnded(membership.self().id(), List.copyOf(ended)));
            ended.clear();
        }
    }

    private void tell(PeerMessage message) {
        keeperIn(membership.head()).ifPresent(k -> peers.send(k.peerAddress(), message));
    }

    /** Gets the member that follows this daemon in the order of names, around the end. */
    private Optional<Member> keeperIn(Head head) {
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
