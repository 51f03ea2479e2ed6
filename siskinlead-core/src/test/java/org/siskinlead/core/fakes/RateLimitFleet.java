package org.siskinlead.core.fakes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.freshness.Freshness;
import org.siskinlead.core.gateway.Gateway;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.roster.Roster;
import org.siskinlead.core.roster.RosterEntry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/**
 * Several daemons that share a store and engines, in virtual time. Each engine holds the whole model and answers every
 * request; some name in their answers how many requests a second they take from all daemons together.
 */
public final class RateLimitFleet {
    private static final int EVENTS = 4;
    private static final long STEP_MS = 10;
    private static final long READ_MS = 50;
    private static final long EVENT_INTERVAL_MS = 40;
    private static final long PROOF_INTERVAL_MS = 1_000;
    private static final long TIME_BUDGET_MS = 20_000;
    private static final long WATCH_DELAY_MS = 250;

    public final ManualTimers timers = new ManualTimers();
    public final FakeLeaseStore store = new FakeLeaseStore(timers);
    public final List<Daemon> daemons = new ArrayList<>();
    public final Map<String, List<Long>> arrivals = new HashMap<>();
    public final RateLimitRule rule = new RateLimitRule();
    public final List<Asked> asked = new ArrayList<>();
    private final Map<String, Double> perSecondByEngine = new HashMap<>();
    private final Map<String, Long> firstNamedAt = new HashMap<>();
    private final Random random;
    private final int engines;
    private int nextRequest;
    /** Requests per second, of all daemons together. */
    public double rate;
    /** Daemons that callers use, from the first one; all by default. */
    public int daemonsInUse;

    /** One daemon of the fleet. What it hears of the store while it does not reach it arrives afterwards. */
    public final class Daemon implements FakeLeaseStore.Watcher {
        public final String vm;
        public final Gateway gateway;
        public final FakeLeaseStore.Client storeClient;
        private final FakeTargetLink link;
        private final List<Runnable> missedChanges = new ArrayList<>();
        private int started;
        private boolean stopped;

        Daemon(String vm, Gateway gateway, FakeLeaseStore.Client storeClient, FakeTargetLink link) {
            this.vm = vm;
            this.gateway = gateway;
            this.storeClient = storeClient;
            this.link = link;
        }

        private boolean reachesStore() {
            return !storeClient.disconnected && store.mode == FakeLeaseStore.Mode.WORKING;
        }

        @Override
        public void onKeyPresent(String key, byte[] value, long lease, Roster.Discovery discovery) {
            onChange(() -> gateway.onKeyPresent(key, value, lease, discovery));
        }

        @Override
        public void onKeyRemoved(String key) {
            onChange(() -> gateway.onKeyRemoved(key));
        }

        private void onChange(Runnable change) {
            if (reachesStore() && missedChanges.isEmpty()) {
                change.run();
            } else {
                missedChanges.add(change);
            }
        }

        private void hearOfStore() {
            if (stopped) {
                return;
            }
            if (!reachesStore()) {
                gateway.onStoreLost("unreachable");
                return;
            }
            List<Runnable> missed = List.copyOf(missedChanges);
            missedChanges.clear();
            gateway.onProof(Freshness.ClockReading.now(timers));
            missed.forEach(Runnable::run);
        }
    }

    /**
     * A request of a caller.
     * @param at time at which it was sent, in milliseconds
     * @param reply its answer
     */
    public record Asked(long at, RecordedReply reply) {}

    public RateLimitFleet(int daemonCount, int engineCount, long seed) {
        random = new Random(seed);
        engines = engineCount;
        daemonsInUse = daemonCount;
        timers.advance(10_000);
        store.watchDelayMillis = WATCH_DELAY_MS;
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(startDaemon("vm" + i));
        }
        timers.advance(2_000);
        proveAll();
    }

    private Daemon startDaemon(String vm) {
        FakeTargetLink link = new FakeTargetLink(timers);
        FakeLeaseStore.Client client = store.client();
        Gateway.Ports ports = new Gateway.Ports(
                timers, client, link, (target, before, layers, answer) -> {}, () -> {}, new Random(random.nextLong()));
        Gateway gateway = Gateway.start(
                new RosterEntry(vm, vm + ":1", "east"),
                ports,
                new Gateway.Settings(4_000, new RetryBudgetShare.Budget(0.2, 196, 10_000)),
                Timeline.of(vm, HybridClock.of(timers::wallMillis), event -> {}));
        for (int i = 0; i < engines; i++) {
            gateway.registry().register(Fleets.engine("e" + i, "east", "big", new LayerRange(0, 80)));
        }
        Daemon daemon = new Daemon(vm, gateway, client, link);
        store.attach(daemon);
        gateway.retainKeys(store.keys());
        gateway.onCatalog(ForwardingTestBed.catalog(1, java.util.Set.of(ForwardingTestBed.KEY)));
        gateway.onProof(Freshness.ClockReading.now(timers));
        gateway.onListening();
        return daemon;
    }

    /** Stops a daemon without notice: its lease expires and its requests end. */
    public void stop(int index) {
        Daemon daemon = daemons.get(index);
        daemon.stopped = true;
        rule.onDisturbed(daemon.vm, timers.nowMillis());
        daemon.storeClient.disconnected = true;
        daemon.gateway.forwarder().terminateAll("stopped");
    }

    /** Starts a stopped daemon as a new process, which knows only what the store holds. */
    public void start(int index) {
        daemons.set(index, startDaemon(daemons.get(index).vm));
        rule.onDisturbed(daemons.get(index).vm, timers.nowMillis());
    }

    /** Cuts a daemon off from the store, or ends that. */
    public void cutFromStore(int index, boolean cut) {
        daemons.get(index).storeClient.disconnected = cut;
        rule.onCut(daemons.get(index).vm, cut, timers.nowMillis());
    }

    /** Restores the store from a copy without keys; each daemon notices when it reaches the store. */
    public void restoreStore() {
        store.restoreEmpty();
        daemons.forEach(d -> d.onChange(() -> {
            d.gateway.onStoreRestored();
            d.gateway.retainKeys(store.keys());
        }));
    }

    public boolean isStopped(int index) {
        return daemons.get(index).stopped;
    }

    /** Lets an engine name a limit from now on, in requests a second; {@link TargetResponse#UNLIMITED} for none. */
    public void limit(int engine, double perSecond) {
        perSecondByEngine.put("e" + engine, perSecond);
        rule.onLimit("e" + engine, timers.nowMillis(), perSecond);
    }

    public void limitAll(double perSecond) {
        for (int i = 0; i < engines; i++) {
            limit(i, perSecond);
        }
    }

    public void run(long millis) {
        long end = timers.nowMillis() + millis;
        double due = 0;
        while (timers.nowMillis() < end) {
            due += rate * STEP_MS / 1_000;
            for (; due >= 1; due--) {
                ask();
            }
            if (random.nextDouble() < due) {
                ask();
                due--;
            }
            if (timers.nowMillis() % PROOF_INTERVAL_MS < STEP_MS) {
                proveAll();
            }
            timers.advance(STEP_MS);
            daemons.forEach(this::startReceived);
        }
    }

    private void proveAll() {
        daemons.forEach(Daemon::hearOfStore);
    }

    private void ask() {
        Daemon daemon = daemons.get(random.nextInt(daemonsInUse));
        if (daemon.stopped) {
            return;
        }
        RecordedReply reply = new RecordedReply();
        asked.add(new Asked(timers.nowMillis(), reply));
        String id = "r" + nextRequest++;
        daemon.gateway
                .forwarder()
                .onRequest(
                        ForwardingTestBed.request(
                                id,
                                "/stream/x",
                                ForwardingTestBed.KEY,
                                TIME_BUDGET_MS,
                                id.getBytes(StandardCharsets.UTF_8),
                                List.of()),
                        reply);
    }

    private void startReceived(Daemon daemon) {
        while (daemon.started < daemon.link.received.size()) {
            FakeTargetLink.ReceivedRequest request = daemon.link.received.get(daemon.started++);
            String engine = request.dispatch.target().id();
            arrivals.computeIfAbsent(engine, e -> new ArrayList<>()).add(timers.nowMillis());
            rule.onArrival(engine, daemon.vm, timers.nowMillis());
            timers.after(READ_MS, () -> {
                if (!request.cancelled && !daemon.stopped) {
                    request.requestsPerSecond = perSecondByEngine.getOrDefault(engine, TargetResponse.UNLIMITED);
                    if (!Double.isInfinite(request.requestsPerSecond)) {
                        firstNamedAt.putIfAbsent(engine, timers.nowMillis());
                        rule.onTold(engine, daemon.vm, timers.nowMillis());
                    }
                    request.startStream();
                    write(request, 1);
                }
            });
        }
    }

    private void write(FakeTargetLink.ReceivedRequest request, long event) {
        if (request.cancelled) {
            return;
        }
        if (event > EVENTS) {
            request.endStream();
            return;
        }
        request.sendEvents(event, event);
        timers.after(EVENT_INTERVAL_MS, () -> write(request, event + 1));
    }

    /** Gets the time at which an engine first named a limit in an answer; far in the future if it has not. */
    public long firstNamedAt(int engine) {
        return firstNamedAt.getOrDefault("e" + engine, Long.MAX_VALUE / 2);
    }

    /** Counts the requests that reached an engine from a time until before another. */
    public long arrivalsBetween(int engine, long from, long to) {
        return arrivals.getOrDefault("e" + engine, List.of()).stream()
                .filter(at -> at >= from && at < to)
                .count();
    }

    /** Counts the most requests that reached an engine in a window that begins at a time or later. */
    public long mostArrivals(int engine, long windowMillis, long from) {
        List<Long> all = arrivals.getOrDefault("e" + engine, List.of()).stream()
                .filter(at -> at >= from)
                .toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < all.size(); last++) {
            while (all.get(last) - all.get(first) > windowMillis) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Computes the share of the requests sent in a period of which an answer has begun. */
    public double shareBegun(long from, long to) {
        List<Asked> sent =
                asked.stream().filter(a -> a.at() >= from && a.at() < to).toList();
        return sent.stream().filter(a -> a.reply().started).count() / (double) Math.max(1, sent.size());
    }
}
