package org.siskinlead.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.siskinlead.core.configuration.Bounds;
import org.siskinlead.core.configuration.Bucket;
import org.siskinlead.core.configuration.Parameter;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.configuration.Template;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.routing.Chain;
import org.siskinlead.core.routing.Fleet;
import org.siskinlead.core.routing.FlowWeightedSelector;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.routing.Target;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.HybridTime;
import org.siskinlead.core.timeline.Timeline;
import org.siskinlead.protocol.json.Json;
import org.siskinlead.protocol.peer.PeerCodec;
import org.siskinlead.protocol.peer.PeerFrame;

/** Measures the size of state and messages and the cost of decisions in deployments of several sizes, for planning. */
public final class MeasureMain {
    private static final int ROUNDS = 5;
    private static final int SELECTIONS_PER_ROUND = 10_000;
    private static final int EVENTS_PER_ROUND = 1_000_000;
    private static final int TOTAL_LAYERS = 24;
    private static final ModelVersion MODEL = new ModelVersion("drafter", "v1");

    private MeasureMain() {}

    /**
     * Prints the measurements.
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        for (int members : new int[] {4, 40, 370}) {
            measureHead(members);
        }
        for (int teams : new int[] {1_000, 10_000, 46_000}) {
            measureTeams(teams);
        }
        for (int targets : new int[] {40, 400, 1_800}) {
            measureSelection(targets);
        }
        measureTimeline();
    }

    private static void measureHead(int members) {
        Head head = Head.EMPTY;
        List<String> membersHeardAsRelay = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            Member member = Member.joining("entry-" + i, i, "dc-" + i % 10, "10.0.0.1:8080", "10.0.0.1:9090");
            head = head.withMember(member).withoutPreviousWitnesses();
            if (membersHeardAsRelay.size() < Math.sqrt(members)) {
                membersHeardAsRelay.add(member.id());
            }
        }
        Map<String, String> documents = new HashMap<>();
        for (int i = 0; i < Bucket.COUNT; i++) {
            documents.put(Integer.toString(i), "config/" + i + "/entry-1-mx8dmlax-14");
        }
        for (Map.Entry<String, String> document : documents.entrySet()) {
            head = head.withDocument(document.getKey(), document.getValue());
        }
        System.out.printf(
                "members %d, bytes: head stored %d, head sent %d, heartbeat %d, relay heartbeat %d, vouch %d%n",
                members,
                Json.write(head).length,
                encodedBytes(new PeerMessage.HeadUpdate(head)),
                encodedBytes(new PeerMessage.Heartbeat("entry-1/19af", "10.0.0.1:9090", 10_000, 10_000, List.of())),
                encodedBytes(new PeerMessage.Heartbeat(
                        "entry-1/19af", "10.0.0.1:9090", 10_000, 10_000, membersHeardAsRelay)),
                encodedBytes(new PeerMessage.RelayedVouch(10_000, 10_000, 1_500, true)));
    }

    private static int encodedBytes(PeerMessage message) {
        String peerKey = "a-key-of-thirty-two-characters-..";
        return PeerCodec.encode(new PeerFrame(peerKey, new HybridTime(1_800_000_000_000L, 1), message)).length;
    }

    private static void measureTeams(int teams) {
        long heapBytesBefore = usedHeapBytes();
        List<TeamDocument> documents = new ArrayList<>();
        for (int i = 0; i < teams; i++) {
            documents.add(createDocument("team-" + i));
        }
        long heapBytesAfter = usedHeapBytes();
        long storedBytes =
                documents.stream().mapToLong(d -> Json.write(d).length).sum();
        System.out.printf(
                "teams %d: %d bytes of heap per team, %d bytes stored per team, %d bytes per bucket%n",
                teams, (heapBytesAfter - heapBytesBefore) / teams, storedBytes / teams, storedBytes / Bucket.COUNT);
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < ROUNDS; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static TeamDocument createDocument(String team) {
        Map<Parameter, Bounds> bounds = new HashMap<>();
        Map<Parameter, Long> values = new HashMap<>();
        for (Parameter parameter : Parameter.values()) {
            bounds.put(parameter, new Bounds(0, 1_000));
            values.put(parameter, 5L);
        }
        Template template = new Template(
                team,
                List.of("north", "south", "west"),
                "0".repeat(64) + team.length(),
                Map.of("drafter", "v1"),
                List.of("bookings"),
                List.of("bookings/list"),
                bounds);
        return new TeamDocument(3, 1, template, Map.of("north", values, "south", values), values);
    }

    private static void measureSelection(int targets) {
        Timeline timeline = Timeline.of("measure", HybridClock.of(System::currentTimeMillis), e -> {});
        Fleet fleet = Fleet.of("dc-1", new FlowWeightedSelector(), new SystemTimers(), timeline);
        double selectionMicros = Double.MAX_VALUE;
        double graphBuildMicros = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < targets; i++) {
                fleet.onReport(createTarget(i, round));
            }
            long start = System.nanoTime();
            fleet.throughputBound(MODEL);
            graphBuildMicros = Math.min(graphBuildMicros, (System.nanoTime() - start) / 1_000.0);
            start = System.nanoTime();
            for (int i = 0; i < SELECTIONS_PER_ROUND; i++) {
                Chain chain = fleet.assign(MODEL, Fleet.ANY).orElseThrow();
                fleet.release(chain);
            }
            selectionMicros = Math.min(selectionMicros, (System.nanoTime() - start) / 1_000.0 / SELECTIONS_PER_ROUND);
        }
        System.out.printf(
                "targets %d: selection %.1f us, graph build %.0f us%n", targets, selectionMicros, graphBuildMicros);
    }

    private static Target createTarget(int targetNumber, int round) {
        int stage = targetNumber % 3;
        LayerRange layers = new LayerRange(stage * 8, stage * 8 + 8);
        double tokensPerSecond = 100 + targetNumber % 6 * 100 + round;
        return new Target(
                "engine-" + targetNumber,
                1,
                "10.0.0.1:1",
                "dc-" + targetNumber % 10,
                "kind",
                "drafter",
                "v1",
                layers,
                TOTAL_LAYERS,
                tokensPerSecond,
                0,
                false);
    }

    private static void measureTimeline() {
        Timeline timeline = Timeline.of("measure", HybridClock.of(System::currentTimeMillis), e -> {});
        double microsPerEvent = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            for (int i = 0; i < EVENTS_PER_ROUND; i++) {
                timeline.record(EventKind.REQUEST_SENT, "request", "entry-1-x-1", "attempt", 1, "position", 7);
            }
            microsPerEvent = Math.min(microsPerEvent, (System.nanoTime() - start) / 1_000.0 / EVENTS_PER_ROUND);
        }
        System.out.printf("timeline: %.2f us per event%n", microsPerEvent);
    }

    /** Clocks only; tasks are never run. */
    private static final class SystemTimers implements Timers {
        @Override
        public long nowMillis() {
            return System.nanoTime() / 1_000_000;
        }

        @Override
        public long wallMillis() {
            return System.currentTimeMillis();
        }

        @Override
        public Timer after(long delayMillis, Runnable task) {
            return () -> {};
        }
    }
}
