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
 * The targets known to this daemon and their load. A target that failed is suspected until it reports again after the
 * suspicion has aged; a target that is leaving gets no new chains.
 */
public final class Fleet {
    /** Allows every target. */
    public static final Predicate<Target> ANY = target -> true;

    /** Share of its capacity as which a target outside the maximum flow counts, so that it serves when others fail. */
    private static final double MIN_WEIGHT_SHARE = 0.01;

    private static final long INITIAL_SUSPICION_MS = 1_000;
    private static final long MAX_SUSPICION_MS = 16_000;
    private static final long REPORT_TTL_MS = 2_000;
    private static final long USABILITY_CHECK_INTERVAL_MS = 20;

    private final String dataCentre;
    private final PipelineSelector selector;
    private final Timers timers;
    private final Timeline timeline;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<ModelVersion, Map<Integer, List<Entry>>> graphs = new HashMap<>();
    private final Map<ModelVersion, Double> throughputBounds = new HashMap<>();
    private Set<String> leavingVms = new HashSet<>();
    private long usabilityCheckedAt = Long.MIN_VALUE / 2;
    private boolean graphsOutdated = true;

    private Fleet(String dataCentre, PipelineSelector selector, Timers timers, Timeline timeline) {
        this.dataCentre = dataCentre;
        this.selector = selector;
        this.timers = timers;
        this.timeline = timeline;
    }

    /**
     * Creates an empty fleet.
     * @param dataCentre data centre of this daemon
     * @param selector how targets are chosen
     * @param timers time
     * @param timeline where events go
     * @return the fleet
     */
    public static Fleet of(String dataCentre, PipelineSelector selector, Timers timers, Timeline timeline) {
        return new Fleet(dataCentre, selector, timers, timeline);
    }

    // Queries

    /**
     * Gets the throughput bound of a model.
     * @param model the model and version
     * @return tokens per second by maximum flow through usable targets
     */
    public double throughputBound(ModelVersion model) {
        rebuildIfStale();
        return throughputBounds.getOrDefault(model, 0.0);
    }

    /**
     * Lists the targets.
     * @return all targets that reported lately
     */
    public List<Target> targets() {
        return entries.values().stream().map(Entry::target).toList();
    }

    /**
     * Lists the targets that may be used now.
     * @return targets that reported lately, are not suspected and are not leaving
     */
    public List<Target> usable() {
        return entries.values().stream()
                .filter(Entry::isUsable)
                .map(Entry::target)
                .toList();
    }

    /**
     * Lists the targets that are suspected.
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
     * Takes the platform's list of VMs.
     * @param vms the list, which may lag
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
     * Takes an engine's report.
     * @param target the target as reported
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
     * Suspects a target that failed to answer.
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
     * Avoids a target that declined a step, until its next report tells why.
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
     * Notes that a target answered a step, which ends the growth of its suspicion period.
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
     * @param model the model and version
     * @param usable which targets the request may use
     * @return the chain, if the layers can be covered
     */
    public Optional<Chain> assign(ModelVersion model, Predicate<Target> usable) {
        rebuildIfStale();
        Map<Integer, List<Entry>> graph = graphs.getOrDefault(model, Map.of());
        List<Entry> chosen = new ArrayList<>();
        int layer = 0;
        while (true) {
            List<Entry> candidates = candidates(graph.getOrDefault(layer, List.of()), usable);
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
     * Counts a chain as no longer in flight.
     * @param chain a chain given by {@link #assign}
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
     * Gets the load of a target.
     * @param id name of its VM
     * @return requests of this daemon in flight plus those reported for others
     */
    public double load(String id) {
        Entry entry = entries.get(id);
        return entry == null ? 0 : entry.load();
    }

    // Helpers

    private static List<Entry> candidates(List<Entry> all, Predicate<Target> usable) {
        if (usable == ANY) {
            return all;
        }
        return all.stream().filter(e -> usable.test(e.target)).toList();
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

    /** Finds the boundaries from which the last layer can be reached, so that no chain is begun that cannot end. */
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

    private final class Entry implements PipelineSelector.Candidate {
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
