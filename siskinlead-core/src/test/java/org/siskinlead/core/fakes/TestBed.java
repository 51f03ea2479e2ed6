package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.siskinlead.core.configuration.Bounds;
import org.siskinlead.core.configuration.Parameter;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.configuration.Template;
import org.siskinlead.core.configuration.UpdateResult;
import org.siskinlead.core.configuration.Vote;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.TimelineEvent;

/** Nodes that run on fakes in virtual time. Runs with the same seed are identical. */
public final class TestBed {
    public static final String TEAM = "crew";

    public final VirtualTime time = new VirtualTime();
    public final Random random;
    public final FakeStore store;
    public final FakeTargets targets;
    public final GuaranteeChecker checker;
    public double messageLossProbability = 0.002;
    public double duplicationProbability = 0.01;
    private final Map<String, TestHost> hosts = new LinkedHashMap<>();
    private final Set<String> blockedLinks = new HashSet<>();
    private final List<TimelineEvent> events = new ArrayList<>();
    /** Messages sent between daemons, by message type. */
    public final Map<String, Long> sentByType = new TreeMap<>();

    /** Messages sent between daemons, by VM of the sender. */
    public final Map<String, Long> sentBySender = new TreeMap<>();

    private long nextIncarnation = 1;

    private TestBed(long seed) {
        random = new Random(seed);
        store = new FakeStore(time, random);
        targets = new FakeTargets(time, random);
        checker = new GuaranteeChecker(this);
    }

    /** Starts nodes and waits until all are active with a template and votes in force. */
    public static TestBed start(long seed, int nodeCount, int maxConcurrent, int requestsPerSecond) {
        TestBed bed = new TestBed(seed);
        for (int i = 0; i < nodeCount; i++) {
            bed.startHost("vm-" + i);
        }
        bed.time.runUntil(2_000);
        bed.publish(bed.host(0), template(TEAM), 0);
        bed.time.runUntil(3_000);
        bed.vote(bed.host(0), maxConcurrent, requestsPerSecond);
        bed.time.runUntil(5_000);
        bed.time.every(20, bed.checker::checkState);
        return bed;
    }

    /** Starts nodes without a template and waits until all are active. */
    public static TestBed startWithoutTemplate(long seed, int nodeCount) {
        TestBed bed = new TestBed(seed);
        for (int i = 0; i < nodeCount; i++) {
            bed.startHost("vm-" + i);
        }
        while (!bed.hosts().stream().allMatch(h -> h.node().membership().isActive())) {
            bed.time.runUntil(bed.time.now() + 1_000);
        }
        bed.time.runUntil(bed.time.now() + 20_000);
        return bed;
    }

    public static Template template(String team) {
        return new Template(
                team,
                List.of("solo"),
                "0".repeat(64),
                Map.of("m", "v1"),
                List.of("bookings"),
                List.of("bookings/list"),
                Map.of(
                        Parameter.MAX_CONCURRENT,
                        new Bounds(1, 100_000),
                        Parameter.REQUESTS_PER_SECOND,
                        new Bounds(1, 100_000),
                        Parameter.PRIORITY,
                        new Bounds(0, 9)));
    }

    public void publish(TestHost host, Template template, long expectedRevision) {
        host.node().configuration().publish(template, expectedRevision, checker::recordIfAccepted);
    }

    /** Votes for a limit; the vote of the only member is a majority. */
    public void vote(TestHost host, int maxConcurrent, int requestsPerSecond) {
        long revision = host.node()
                .configuration()
                .team(TEAM)
                .map(TeamDocument::templateRevision)
                .orElse(0L);
        Vote vote = new Vote(
                TEAM,
                "solo",
                revision,
                Map.of(
                        Parameter.MAX_CONCURRENT,
                        (long) maxConcurrent,
                        Parameter.REQUESTS_PER_SECOND,
                        (long) requestsPerSecond,
                        Parameter.PRIORITY,
                        5L));
        checker.onVote(maxConcurrent);
        host.node().configuration().vote(vote, answer -> onVoteAnswer(maxConcurrent, answer));
    }

    private void onVoteAnswer(int maxConcurrent, UpdateResult answer) {
        checker.onVoteAnswer(maxConcurrent, answer);
    }

    public TestHost startHost(String vm) {
        TestHost host = new TestHost(this, vm, 1_000 * nextIncarnation++);
        hosts.put(vm, host);
        return host;
    }

    public TestHost host(int index) {
        return hosts.get("vm-" + index);
    }

    public List<TestHost> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Drops messages from one VM to another, in that direction only. */
    public void blockMessages(String from, String to) {
        blockedLinks.add(from + ">" + to);
    }

    /** Ends all faults of the network, the store, the targets and the hosts. */
    public void heal() {
        blockedLinks.clear();
        store.heal();
        store.outage = false;
        store.staleReads = false;
        store.answerLossProbability = 0;
        store.maxExtraDelayMillis = 0;
        messageLossProbability = 0.002;
        targets.mismatchedAnswerProbability = 0;
        targets.lostServiceAnswerProbability = 0;
        for (TestHost host : hosts()) {
            if (host.dead()) {
                startHost(host.vm());
            } else {
                host.thaw();
            }
        }
        for (FakeTargets.Engine engine : targets.engines()) {
            engine.leaving = false;
            if (engine.dead) {
                targets.restart(engine);
            } else if (engine.frozen) {
                targets.thaw(engine);
            }
        }
        targets.services().forEach(s -> s.dead = false);
    }

    public List<TimelineEvent> events() {
        return events;
    }

    public long count(EventKind kind) {
        return events.stream().filter(e -> e.kind() == kind).count();
    }

    void onEvent(TimelineEvent event) {
        events.add(event);
    }

    void send(TestHost from, String address, PeerMessage message) {
        sentByType.merge(message.getClass().getSimpleName(), 1L, Long::sum);
        sentBySender.merge(from.vm(), 1L, Long::sum);
        if (blockedLinks.contains(from.vm() + ">" + address) || random.nextDouble() < messageLossProbability) {
            return;
        }
        deliver(from, address, message);
        if (random.nextDouble() < duplicationProbability) {
            deliver(from, address, message);
        }
    }

    private void deliver(TestHost from, String address, PeerMessage message) {
        long delay = 1 + random.nextInt(3) + (random.nextInt(50) == 0 ? random.nextInt(60) : 0);
        TestHost to = hosts.get(address);
        time.after(delay, () -> {
            if (to == null || to.dead()) {
                if (hosts.get(address) == to) {
                    from.dispatch(() -> from.node().membership().onConnectionRefused(address));
                }
            } else {
                to.receive(message);
            }
        });
    }
}
