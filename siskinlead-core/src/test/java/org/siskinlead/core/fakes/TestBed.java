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
import org.siskinlead.core.configuration.Publication;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.configuration.Template;
import org.siskinlead.core.configuration.Vote;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.TimelineEvent;

/** A few nodes on fakes in virtual time. The same seed gives the same run. */
public final class TestBed {
    public static final String TEAM = "crew";

    public final VirtualTime time = new VirtualTime();
    public final Random random;
    public final FakeStore store;
    public final FakeTargets targets;
    public final Judge judge;
    public double messageLoss = 0.002;
    public double duplicates = 0.01;
    private final Map<String, TestHost> hosts = new LinkedHashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final List<TimelineEvent> events = new ArrayList<>();
    /** Messages between daemons by type, and by sender. */
    public final Map<String, Long> sent = new TreeMap<>();

    public final Map<String, Long> sentBy = new TreeMap<>();
    private long incarnations = 1;

    private TestBed(long seed) {
        random = new Random(seed);
        store = new FakeStore(time, random);
        targets = new FakeTargets(time, random);
        judge = new Judge(this);
    }

    /** Starts nodes and waits until all are in standing with a template and votes in force. */
    public static TestBed start(long seed, int nodes, int maxConcurrent, int perSecond) {
        TestBed bed = new TestBed(seed);
        for (int i = 0; i < nodes; i++) {
            bed.startHost("vm-" + i);
        }
        bed.time.runUntil(2_000);
        bed.publish(bed.host(0), template(TEAM), 0);
        bed.time.runUntil(3_000);
        bed.vote(bed.host(0), maxConcurrent, perSecond);
        bed.time.runUntil(5_000);
        bed.time.every(20, bed.judge::look);
        return bed;
    }

    /** Starts many nodes and waits until all are in standing. */
    public static TestBed startMany(long seed, int nodes) {
        TestBed bed = new TestBed(seed);
        for (int i = 0; i < nodes; i++) {
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
        host.node().configuration().publish(template, expectedRevision, judge::onTemplateAnswer);
    }

    /** Votes a limit; the only member's vote is a majority. */
    public void vote(TestHost host, int maxConcurrent, int perSecond) {
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
                        (long) perSecond,
                        Parameter.PRIORITY,
                        5L));
        judge.onVote(maxConcurrent);
        host.node().configuration().vote(vote, answer -> onVoteAnswer(maxConcurrent, answer));
    }

    private void onVoteAnswer(int maxConcurrent, Publication answer) {
        judge.onVoteAnswer(maxConcurrent, answer);
    }

    public TestHost startHost(String vm) {
        TestHost host = new TestHost(this, vm, 1_000 * incarnations++);
        hosts.put(vm, host);
        return host;
    }

    public TestHost host(int index) {
        return hosts.get("vm-" + index);
    }

    public List<TestHost> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Cuts messages from one VM to another, in that direction only. */
    public void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    /** Ends all faults of the network, the store and the targets. */
    public void heal() {
        cuts.clear();
        store.heal();
        store.outage = false;
        store.staleReads = false;
        store.answerLoss = 0;
        store.slowMillis = 0;
        messageLoss = 0.002;
        targets.crossedAnswers = 0;
        targets.lostServiceAnswers = 0;
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

    void carry(TestHost from, String address, PeerMessage message) {
        sent.merge(message.getClass().getSimpleName(), 1L, Long::sum);
        sentBy.merge(from.vm(), 1L, Long::sum);
        if (cuts.contains(from.vm() + ">" + address) || random.nextDouble() < messageLoss) {
            return;
        }
        deliver(from, address, message);
        if (random.nextDouble() < duplicates) {
            deliver(from, address, message);
        }
    }

    private void deliver(TestHost from, String address, PeerMessage message) {
        long delay = 1 + random.nextInt(3) + (random.nextInt(50) == 0 ? random.nextInt(60) : 0);
        TestHost to = hosts.get(address);
        time.after(delay, () -> {
            if (to == null || to.dead()) {
                if (hosts.get(address) == to) {
                    from.enter(() -> from.node().membership().onConnectionRefused(address));
                }
            } else {
                to.receive(message);
            }
        });
    }
}
