package org.siskinlead.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.invariant.Invariants;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.node.Node;
import org.siskinlead.core.node.Ports;
import org.siskinlead.core.routing.FlowWeightedSelector;
import org.siskinlead.core.routing.LeastLoadedSelector;
import org.siskinlead.core.routing.NextTargetSelector;
import org.siskinlead.core.routing.RoundRobinSelector;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;
import org.siskinlead.daemon.entry.EntryServer;
import org.siskinlead.daemon.entry.OperatorEndpoints;
import org.siskinlead.daemon.loop.DecisionLoop;
import org.siskinlead.daemon.peer.PeerLinks;
import org.siskinlead.daemon.platform.PlatformClient;
import org.siskinlead.daemon.settings.Settings;
import org.siskinlead.daemon.targets.TargetClient;
import org.siskinlead.protocol.http.Addresses;
import org.siskinlead.protocol.http.HttpClient;
import org.siskinlead.protocol.http.HttpLimits;
import org.siskinlead.protocol.http.HttpServer;
import org.siskinlead.protocol.http.ServerCounters;
import org.siskinlead.protocol.http.ServerResources;

/** Creates, runs and stops the components of one daemon. */
final class Daemon {
    private static final int NETWORK_THREADS = 2;
    private static final int CONNECT_TIMEOUT_MS = 500;
    /** Longest time after a drain for which answers to the last requests are sent. */
    private static final long MAX_ANSWER_WAIT_MS = 1_000;
    /** Longest wait, at the end of the process, until standard output has taken the last log lines. */
    private static final long MAX_LOG_FLUSH_MS = 500;

    private final DecisionLoop loop = DecisionLoop.start();
    private final EventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());
    private final CountDownLatch drained = new CountDownLatch(1);
    private final Settings settings;
    private final ServerResources serverResources;
    private final Node node;
    private final PeerLinks peers;
    private final PlatformClient platform;
    private final TargetClient targets;
    private final Supplier<String> ids;
    private volatile @Nullable HttpServer callers;
    private boolean terminating;

    private Daemon(Settings settings) {
        this.settings = settings;
        serverResources = ServerResources.ofSockets(settings.maxSockets());
        long incarnation = System.currentTimeMillis();
        ids = newIdSupplier(settings.vm(), incarnation);
        Member self = Member.joining(
                settings.vm(), incarnation, settings.dataCentre(), settings.entryAddress(), settings.peerAddress());
        HttpClient http = HttpClient.of(eventLoopGroup, CONNECT_TIMEOUT_MS);
        HybridClock clock = HybridClock.of(loop::wallMillis);
        Timeline timeline = Timeline.of(settings.vm(), clock, EventLog::write);
        peers = PeerLinks.of(
                eventLoopGroup, loop, clock, settings.peerAddress(), settings.peerKey(), settings.maxSockets());
        platform = PlatformClient.of(http, settings.platform(), loop);
        targets = TargetClient.of(http, loop);
        Ports ports = new Ports(loop, platform, peers, targets, targets, ids);
        node = Node.of(
                self, ports, selector(settings.selector()), timeline, Invariants.of(timeline, Invariants.Mode.RECORD));
    }

    /**
     * Runs a daemon until it has drained.
     * @param settings validated settings
     * @throws InterruptedException when interrupted while it starts or runs
     */
    static void run(Settings settings) throws InterruptedException {
        Daemon daemon = new Daemon(settings);
        daemon.start();
        daemon.drained.await();
        daemon.stop();
    }

    private void start() throws InterruptedException {
        peers.listen(node::onPeerMessage, address -> node.membership().onConnectionRefused(address));
        OperatorEndpoints operator = OperatorEndpoints.of(node, metrics(), this::drain);
        EntryServer entry = EntryServer.of(node, loop, ids, operator, settings.operatorTokenSha256());
        Runtime.getRuntime().addShutdownHook(new Thread(this::drainOnSignal, "drain-on-signal"));
        startServingUnlessTerminating(entry);
    }

    /** Starts to serve, unless the process is terminating before any request could be read. */
    private synchronized void startServingUnlessTerminating(EntryServer entry) throws InterruptedException {
        if (terminating) {
            return;
        }
        callers = HttpServer.start(
                Addresses.parse(settings.entryAddress()),
                eventLoopGroup,
                () -> HttpLimits.CALLERS,
                serverResources,
                entry);
        loop.publish(() -> {
            node.start();
            LimitReport.start(loop, node.timeline(), serverResources.counters());
            VmPoller.start(node, platform, targets, loop);
        });
    }

    /** Keeps the daemon from starting to serve. Returns false if it has started, so that it must drain. */
    private synchronized boolean endBeforeServing() {
        terminating = true;
        return callers == null;
    }

    private void drain() {
        HttpServer server = Objects.requireNonNull(callers, "callers");
        node.drain(() -> server.drain(MAX_ANSWER_WAIT_MS, connections -> drained.countDown()));
    }

    /** Drains the daemon when the JVM receives a termination signal. */
    private void drainOnSignal() {
        if (drained.getCount() == 0 || endBeforeServing()) {
            return;
        }
        loop.publish(this::drain);
        try {
            drained.await();
            LogSetup.flush(MAX_LOG_FLUSH_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stop() {
        eventLoopGroup.shutdownGracefully();
        loop.close();
    }

    private MetricRegistry metrics() {
        MetricRegistry metrics = new MetricRegistry();
        registerGauge(metrics, "ring.free_slots", loop::freeSlots);
        registerGauge(metrics, "platform.reads", platform::readCount);
        registerGauge(metrics, "platform.writes", platform::writeCount);
        registerGauge(metrics, "peer.messages_sent", peers::messagesSent);
        registerGauge(metrics, "peer.bytes_sent", peers::bytesSent);
        registerGauge(metrics, "peer.refused", peers::refusedCount);
        registerGauge(
                metrics,
                "heap.used_bytes",
                () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        registerGauge(metrics, "connections.open", () ->
                (long) serverResources.connections().count());
        registerGauge(metrics, "connections.max_sockets", () ->
                (long) serverResources.connections().maxSockets());
        ServerCounters counters = serverResources.counters();
        for (String name : counters.values().keySet()) {
            registerGauge(
                    metrics, "connections." + name, () -> counters.values().getOrDefault(name, 0L));
        }
        registerGauge(metrics, "head.version", () -> node.membership().head().version());
        registerGauge(metrics, "timeline.dropped", () -> node.timeline().dropped());
        return metrics;
    }

    private static void registerGauge(MetricRegistry metrics, String name, Gauge<Long> value) {
        metrics.registerGauge("siskinlead." + name, value);
    }

    private static Supplier<String> newIdSupplier(String vm, long incarnation) {
        AtomicLong counter = new AtomicLong();
        String prefix = vm + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-";
        return () -> prefix + counter.incrementAndGet();
    }

    private static NextTargetSelector selector(String name) {
        return switch (name) {
            case "round-robin" -> new RoundRobinSelector();
            case "least-loaded" -> new LeastLoadedSelector();
            default -> new FlowWeightedSelector();
        };
    }
}
