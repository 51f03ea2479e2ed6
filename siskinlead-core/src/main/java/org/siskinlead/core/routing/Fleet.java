package org.siskinlead.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Targets known to this daemon, with their load and availability. A target that failed is suspected until it reports
 * after its suspicion period; a target that is leaving is not assigned to new chains.
 */
public final class Fleet {
    /** Accepts every target. */
    public static final Predicate<Target> ANY = target -> true;

    /** Minimum weight of a target as a share of its capacity; keeps targets without flow available when others fail. */
    private static final double MIN_WEIGHT_SHARE = 0.01;

    private static final long INITIAL_SUSPICION_MS = 1_000;
    private static final long MAX_SUSPICION_MS = 16_000;
    private static final long REPORT_TTL_MS = 2_000;
    private static final long USABILITY_CHECK_INTERVAL_MS = 20;

    private final String dataCentre;
    private final NextTargetSelector selector;
    private final Timers timers;
    private final Timeline timeline;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<ModelVersion, Map<Integer, List<Entry>>> graphs = new HashMap<>();
    private final Map<ModelVersion, Double> throughputBounds = new HashMap<>();
    private Set<String> leavingVms = new HashSet<>();
    private long usabilityCheckedAt = Long.MIN_VALUE / 2;
    private boolean graphsOutdated = true;

    private Fleet(String dataCentre, NextTargetSelector selector, Timers timers, Timeline timeline) {
        this.dataCentre = dataCentre;
        this.selector = selector;
        this.timers = timers;
        this.timeline = timeline;
    }

    /**
     * Creates an empty fleet.
     * @param dataCentre data centre of this daemon
     * @param selector strategy that chooses among targets for the same layers
     * @param timers clock
     * @param timeline log of targets that join, leave or are suspected
     * @return a fleet without targets
     */
    public static Fleet of(String dataCentre, NextTargetSelector selector, Timers timers, Timeline timeline) {
        return new Fleet(dataCentre, selector, timers, timeline);
    }

    // Queries

    /**
     * Computes the upper bound of the throughput of a model.
     * @param model model and version
     * @return maximum flow through the usable targets, in tokens per second; 0 if they do not cover all layers
     */
    public double throughputBound(ModelVersion model) {
        rebuildIfStale();
        return throughputBounds.getOrDefault(model, 0.0);
    }

    /**
     * Lists all known targets.
     * @return targets as last reported, including suspected and leaving ones
     */
    public List<Target> targets() {
        return entries.values().stream().map(Entry::target).toList();
    }

    /**
     * Lists the targets that new chains may use.
     * @return targets whose last report has not expired and that are neither suspected nor leaving
     */
    public List<Target> usable() {
        return entries.values().stream()
                .filter(Entry::isUsable)
                .map(Entry::target)
                .toList();
    }

    /**
     * Lists the targets that are suspected to have failed.
     * @return names of their VMs
     */
    public List<String> suspected() {
        return entries.values().stream()
                .filter(Entry::isSuspected)
                .map(e -> e.target.id())
                .toList();
    }

    // Commands

    /**
     * Updates the VMs that are leaving, and removes targets that are no longer listed and whose report has expired.
     * @param vms VMs as listed by the platform; the list may be out of date
     */
    public void onVms(Collection<VmEntry> vms) {
        Set<String> leaving = new HashSet<>();
        for (VmEntry vm : vms) {
            if (vm.state() == VmEntry.State.LEAVING) {
                leaving.add(vm.id());
            }
        }
        graphsOutdated |= !leaving.equals(leavingVms);
        leavingVms = leaving;
        Set<String> listed = new HashSet<>();
        vms.forEach(vm -> listed.add(vm.id()));
        graphsOutdated |= entries.entrySet()
                .removeIf(e -> !listed.contains(e.getKey()) && e.getValue().isExpired());
    }

    /**
     * Updates a target from a report of its engine.
     * @param target state of the target as reported
     */
    public void onReport(Target target) {
        Entry entry = entries.get(target.id());
        if (entry == null) {
            entry = new Entry(target);
            entries.put(target.id(), entry);
            timeline.record(EventKind.TARGET_JOINED, "target", target.id(), "layers", layersOf(target));
            graphsOutdated = true;
        }
        entry.report(target);
    }

    /**
     * Marks a target as suspected after it failed to answer. The suspicion period doubles with each failure.
     * @param id name of its VM
     */
    public void suspect(String id) {
        Entry entry = entries.get(id);
        if (entry != null && !entry.isSuspected()) {
            entry.suspect();
            timeline.record(EventKind.TARGET_SUSPECTED, "target", id);
            graphsOutdated = true;
        }
    }

    /**
     * Excludes a target that declined a step from new chains until its next report.
     * @param id name of its VM
     */
    public void onDeclined(String id) {
        Entry entry = entries.get(id);
        if (entry != null) {
            entry.awaitingReport = true;
            graphsOutdated = true;
        }
    }

    /**
     * Resets the suspicion period of a target that answered a step.
     * @param id name of its VM
     */
    public void onAnswered(String id) {
        Entry entry = entries.get(id);
        if (entry != null) {
            entry.suspicionMs = INITIAL_SUSPICION_MS;
        }
    }

    /**
     * Chooses a chain and counts it as in flight on its targets.
     * @param model model and version
     * @param permitted filter for the targets that the request may use
     * @return the chain, empty if the permitted targets do not cover all layers
     */
    public Optional<Chain> assign(ModelVersion model, Predicate<Target> permitted) {
        rebuildIfStale();
        Map<Integer, List<Entry>> graph = graphs.getOrDefault(model, Map.of());
        List<Entry> chosen = new ArrayList<>();
        int layer = 0;
        while (true) {
            List<Entry> candidates = candidates(graph.getOrDefault(layer, List.of()), permitted);
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            Entry entry = selector.choose(candidates);
            chosen.add(entry);
            layer = entry.target.layers().to();
            if (layer == entry.target.totalLayers()) {
                break;
            }
        }
        chosen.forEach(e -> e.ownInFlight++);
        return Optional.of(new Chain(model, chosen.stream().map(Entry::target).toList()));
    }

    /**
     * Stops counting a chain as in flight on its targets.
     * @param chain chain returned by {@link #assign}
     */
    public void release(Chain chain) {
        for (Target target : chain.targets()) {
            Entry entry = entries.get(target.id());
            if (entry != null) {
                entry.ownInFlight = Math.max(0, entry.ownInFlight - 1);
            }
        }
    }

    /**
     * Estimates the load of a target.
     * @param id name of its VM
     * @return requests of this daemon in flight plus those that the target reported for other daemons
     */
    public double load(String id) {
        Entry entry = entries.get(id);
        return entry == null ? 0 : entry.load();
    }

    // Helpers

    private static List<Entry> candidates(List<Entry> all, Predicate<Target> permitted) {
        if (permitted == ANY) {
            return all;
        }
        return all.stream().filter(e -> permitted.test(e.target)).toList();
    }

    private static String layersOf(Target target) {
        return target.layers().from() + ".." + target.layers().to();
    }

    private void rebuildIfStale() {
        long now = timers.nowMillis();
        if (now - usabilityCheckedAt >= USABILITY_CHECK_INTERVAL_MS) {
            usabilityCheckedAt = now;
            graphsOutdated |= entries.values().stream().anyMatch(Entry::changedUsability);
        }
        if (!graphsOutdated) {
            return;
        }
        graphsOutdated = false;
        graphs.clear();
        throughputBounds.clear();
        Map<ModelVersion, List<Entry>> byModel = new LinkedHashMap<>();
        for (Entry entry : entries.values()) {
            entry.wasUsable = entry.isUsable();
            if (entry.wasUsable) {
                byModel.computeIfAbsent(entry.target.modelVersion(), m -> new ArrayList<>())
                        .add(entry);
            }
        }
        byModel.forEach(this::buildGraph);
    }

    private void buildGraph(ModelVersion model, List<Entry> usable) {
        MaxFlow flow = MaxFlow.of(usable.stream().map(Entry::target).toList());
        throughputBounds.put(model, flow.tokensPerSecond());
        Set<Integer> useful = boundariesReachingLastLayer(usable);
        Map<Integer, List<Entry>> graph = new HashMap<>();
        for (int i = 0; i < usable.size(); i++) {
            Entry entry = usable.get(i);
            entry.weight = Math.max(flow.flowThrough(i), entry.target.tokensPerSecond() * MIN_WEIGHT_SHARE);
            entry.remote = !entry.target.dataCentre().equals(dataCentre);
            if (useful.contains(entry.target.layers().to())) {
                graph.computeIfAbsent(entry.target.layers().from(), l -> new ArrayList<>())
                        .add(entry);
            }
        }
        graphs.put(model, graph);
    }

    /** Finds the layer boundaries from which the last layer can be reached, so that every chain can be completed. */
    private static Set<Integer> boundariesReachingLastLayer(List<Entry> usable) {
        List<Entry> fromTheEnd = new ArrayList<>(usable);
        fromTheEnd.sort((a, b) ->
                Integer.compare(b.target.layers().from(), a.target.layers().from()));
        Set<Integer> reachable = new HashSet<>();
        usable.forEach(e -> reachable.add(e.target.totalLayers()));
        for (Entry entry : fromTheEnd) {
            if (reachable.contains(entry.target.layers().to())) {
                reachable.add(entry.target.layers().from());
            }
        }
        return reachable;
    }

    private final class Entry implements NextTargetSelector.Candidate {
        private Target target;
        private long reportedAt;
        private long suspectedUntil = Long.MIN_VALUE;
        private long suspicionMs = INITIAL_SUSPICION_MS;
        private boolean awaitingReport;
        private boolean wasUsable;
        private int ownInFlight;
        private int ownInFlightAtReport;
        private double weight;
        private boolean remote;

        Entry(Target target) {
            this.target = target;
        }

        @Override
        public Target target() {
            return target;
        }

        @Override
        public double weight() {
            return weight;
        }

        @Override
        public boolean remote() {
            return remote;
        }

        @Override
        public double load() {
            int others = Math.max(0, target.running() - ownInFlightAtReport);
            return ownInFlight + others;
        }

        void report(Target reported) {
            boolean restarted = reported.incarnation() != target.incarnation();
            graphsOutdated |= restarted || !sameCapacity(reported);
            if (reported.leaving() && !target.leaving()) {
                timeline.record(EventKind.TARGET_LEFT, "target", target.id());
            }
            target = reported;
            reportedAt = timers.nowMillis();
            ownInFlightAtReport = ownInFlight;
            if (restarted) {
                suspectedUntil = Long.MIN_VALUE;
            }
            if (timers.nowMillis() >= suspectedUntil) {
                awaitingReport = false;
            }
        }

        void suspect() {
            suspectedUntil = timers.nowMillis() + suspicionMs;
            suspicionMs = Math.min(MAX_SUSPICION_MS, 2 * suspicionMs);
            awaitingReport = true;
        }

        boolean isSuspected() {
            return awaitingReport || timers.nowMillis() < suspectedUntil;
        }

        boolean isExpired() {
            return timers.nowMillis() - reportedAt > REPORT_TTL_MS;
        }

        boolean isUsable() {
            return !isSuspected() && !isExpired() && !target.leaving() && !leavingVms.contains(target.id());
        }

        boolean changedUsability() {
            return isUsable() != wasUsable;
        }

        private boolean sameCapacity(Target other) {
            return target.modelVersion().equals(other.modelVersion())
                    && target.layers().equals(other.layers())
                    && target.leaving() == other.leaving()
                    && target.tokensPerSecond() == other.tokensPerSecond();
        }
    }
}
