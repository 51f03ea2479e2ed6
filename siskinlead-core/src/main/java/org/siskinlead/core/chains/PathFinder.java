package org.siskinlead.core.chains;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.routing.LayerRange;

/**
 * Finds the path through the layers with the lowest cost. A path within one data centre is used if there is one,
 * because the activations of every token pass each crossing. Among data centres, the one whose busiest target has most
 * free memory is preferred.
 */
public final class PathFinder {
    /** Maximum number of hops that engines accept. */
    static final int MAX_HOPS = 32;
    /** Fixed cost of a hop, per token. */
    private static final double HOP_COST_MS = 0.3;
    /** Cost of a crossing between data centres, per token. */
    private static final double CROSS_DATA_CENTRE_COST_MS = 40;
    /** Cost of a target whose memory is fully reserved, per token and for all layers of the model. */
    private static final double FULL_MEMORY_COST_MS = 60;
    /** Cost per token of a path whose busiest target is fully reserved, when data centres are compared. */
    private static final double BOTTLENECK_COST_MS = 80;
    /** Estimated share of the memory of a target up to which it is assigned requests. */
    private static final double MAX_MEMORY_SHARE = 1.2;
    /** Fraction of its capacity below which a target is not taken to be slower still; avoids a division by zero. */
    private static final double MIN_CAPACITY = 0.01;

    private final EngineSpec spec;
    private final TargetLoads loads;

    private PathFinder(EngineSpec spec, TargetLoads loads) {
        this.spec = spec;
        this.loads = loads;
    }

    /**
     * Creates a path finder.
     * @param spec parameters of the engines
     * @param loads load of each engine from all daemons
     * @return a path finder for these engines
     */
    public static PathFinder of(EngineSpec spec, TargetLoads loads) {
        return new PathFinder(spec, loads);
    }

    /** Whether free memory limits the choice of targets. */
    public enum MemoryCheck {
        /** Uses only targets with enough estimated free memory for the request. */
        ENFORCED,
        /** Uses any target, as if all memory were free. */
        SKIPPED
    }

    /**
     * Finds the path with the lowest cost.
     * @param targets targets that may be used
     * @param tokens expected number of tokens of the request
     * @param memoryCheck whether the request must fit the free memory of the targets
     * @return the path, empty if the permitted targets do not cover all layers
     */
    public Optional<HopPath> find(Collection<TargetHealth> targets, double tokens, MemoryCheck memoryCheck) {
        Map<String, List<TargetHealth>> byDataCentre = byDataCentre(targets);
        HopPath best = null;
        for (List<TargetHealth> group : byDataCentre.values()) {
            HopPath path = search(group, tokens, memoryCheck);
            if (path != null && (best == null || path.cost() < best.cost())) {
                best = path;
            }
        }
        if (best == null && byDataCentre.size() > 1) {
            List<TargetHealth> all = new ArrayList<>();
            byDataCentre.values().forEach(all::addAll);
            best = search(all, tokens, memoryCheck);
        }
        return Optional.ofNullable(best);
    }

    /**
     * Finds the path with the lowest cost among all targets given, without preference for one data centre.
     * @param targets targets that may be used
     * @param tokens expected number of tokens of the request
     * @param memoryCheck whether the request must fit the free memory of the targets
     * @return the path, empty if the targets do not cover all layers
     */
    public Optional<HopPath> findAmong(List<TargetHealth> targets, double tokens, MemoryCheck memoryCheck) {
        return Optional.ofNullable(search(targets, tokens, memoryCheck));
    }

    /**
     * Groups the targets that hold layers.
     * @param targets targets of any data centre
     * @return targets by data centre
     */
    public static Map<String, List<TargetHealth>> byDataCentre(Collection<TargetHealth> targets) {
        Map<String, List<TargetHealth>> byDataCentre = new TreeMap<>();
        for (TargetHealth target : targets) {
            if (target.entry().layers() != null) {
                byDataCentre
                        .computeIfAbsent(target.entry().dataCentre(), d -> new ArrayList<>())
                        .add(target);
            }
        }
        return byDataCentre;
    }

    /**
     * Computes the time of a decode step over a path at the estimated loads.
     * @param path the path
     * @return time in milliseconds, with the fixed costs of hops and without those of filled memory
     */
    public double stepMillis(HopPath path) {
        double millis = 0;
        for (Hop hop : path.hops()) {
            AcceleratorKind kind = spec.kinds().get(hop.target().entry().accelerator());
            if (kind != null) {
                millis += HOP_COST_MS + (double) hop.layerCount() / spec.layers() * stepMillis(hop.target(), kind);
            }
        }
        return millis;
    }

    /**
     * Computes how many requests more fit on every target of a path.
     * @param path the path
     * @param tokens expected number of tokens of each request
     * @return number of requests that the memory of the targets takes, at least 0
     */
    public double requestsThatFit(HopPath path, double tokens) {
        double fitting = Double.MAX_VALUE;
        for (Hop hop : path.hops()) {
            AcceleratorKind kind = spec.kinds().get(hop.target().entry().accelerator());
            double free = kind == null
                    ? 0
                    : MAX_MEMORY_SHARE * capacity(hop.target(), kind) - loads.reservedTokenLayers(hop.target());
            fitting = Math.min(fitting, free / (tokens * hop.layerCount()));
        }
        return Math.max(0, fitting);
    }

    /** Path with the lowest cost that runs all layers below some layer and ends in a data centre. */
    private record PartialPath(
            @Nullable PartialPath previous, @Nullable Hop hop, double cost, int hops) {}

    /** A target with what its hops cost, computed once for each search. */
    private record Candidate(TargetHealth target, int from, int to, int dataCentre, double costPerShare) {}

    private @Nullable HopPath search(List<TargetHealth> group, double tokens, MemoryCheck memoryCheck) {
        Map<String, Integer> dataCentres = new TreeMap<>();
        List<Candidate> candidates = candidates(group, dataCentres, tokens, memoryCheck);
        boolean[] starts = new boolean[spec.layers() + 1];
        for (TargetHealth target : group) {
            LayerRange held = target.entry().layers();
            if (held != null && held.from() <= spec.layers()) {
                starts[held.from()] = true;
            }
        }
        // By layer, then by the data centre in which the path ends.
        PartialPath[][] best = new PartialPath[spec.layers() + 1][dataCentres.size()];
        extend(best, new PartialPath(null, null, 0, 0), 0, -1, candidates, starts);
        for (int layer = 1; layer < spec.layers(); layer++) {
            for (int dataCentre = 0; dataCentre < best[layer].length; dataCentre++) {
                PartialPath partial = best[layer][dataCentre];
                if (partial != null) {
                    extend(best, partial, layer, dataCentre, candidates, starts);
                }
            }
        }
        PartialPath cheapest = null;
        for (PartialPath complete : best[spec.layers()]) {
            if (complete != null && (cheapest == null || complete.cost() < cheapest.cost())) {
                cheapest = complete;
            }
        }
        return cheapest == null ? null : toHopPath(cheapest, tokens, memoryCheck);
    }

    /** Lists the targets that can run the request, and numbers their data centres. */
    private List<Candidate> candidates(
            List<TargetHealth> group, Map<String, Integer> dataCentres, double tokens, MemoryCheck memoryCheck) {
        List<Candidate> candidates = new ArrayList<>();
        for (TargetHealth target : group) {
            RegisteredTarget entry = target.entry();
            LayerRange held = entry.layers();
            AcceleratorKind kind = spec.kinds().get(entry.accelerator());
            if (held == null || kind == null) {
                continue;
            }
            double memoryShare = memoryCheck == MemoryCheck.SKIPPED ? 0 : memoryShare(target, kind, tokens);
            if (memoryShare > MAX_MEMORY_SHARE) {
                continue;
            }
            double costPerShare = stepMillis(target, kind) + FULL_MEMORY_COST_MS * memoryShare * memoryShare;
            Integer known = dataCentres.putIfAbsent(entry.dataCentre(), dataCentres.size());
            int dataCentre = known == null ? dataCentres.size() - 1 : known;
            candidates.add(new Candidate(target, held.from(), held.to(), dataCentre, costPerShare));
        }
        return candidates;
    }

    /** Extends a path by each target that holds its next layer; a hop may end where the range of any target starts. */
    private void extend(
            PartialPath[][] best,
            PartialPath partial,
            int layer,
            int dataCentre,
            List<Candidate> candidates,
            boolean[] starts) {
        if (partial.hops() >= MAX_HOPS) {
            return;
        }
        for (Candidate candidate : candidates) {
            if (candidate.from() > layer
                    || candidate.to() <= layer
                    || contains(partial, candidate.target())
                    || (layer == 0 && !loads.hasFreeSlot(candidate.target()))) {
                continue;
            }
            boolean crosses = dataCentre >= 0 && dataCentre != candidate.dataCentre();
            double fixedCost = partial.cost() + HOP_COST_MS + (crosses ? CROSS_DATA_CENTRE_COST_MS : 0);
            for (int end = layer + 1; end <= Math.min(candidate.to(), spec.layers()); end++) {
                if (end != candidate.to() && !starts[end]) {
                    continue;
                }
                double cost = fixedCost + (double) (end - layer) / spec.layers() * candidate.costPerShare();
                PartialPath known = best[end][candidate.dataCentre()];
                if (known == null || cost < known.cost()) {
                    Hop hop = new Hop(candidate.target(), new LayerRange(layer, end));
                    best[end][candidate.dataCentre()] = new PartialPath(partial, hop, cost, partial.hops() + 1);
                }
            }
        }
    }

    /** Computes the duration of a decode step of all layers, which concurrent requests lengthen. */
    private double stepMillis(TargetHealth target, AcceleratorKind kind) {
        double batch = loads.concurrentRequests(target) / Math.max(MIN_CAPACITY, target.capacityFraction());
        double batchTimeFactor = 1 + batch * spec.perSequenceMillis() / spec.stepMillis();
        return spec.stepMillis() * kind.stepTimeFactor() * target.slowdown() * batchTimeFactor;
    }

    private double memoryShare(TargetHealth target, AcceleratorKind kind, double tokens) {
        LayerRange held = target.entry().layers();
        int layers = held == null ? 0 : held.to() - held.from();
        double capacity = capacity(target, kind);
        double required = loads.reservedTokenLayers(target) + tokens * layers;
        return capacity <= 0 ? Double.MAX_VALUE : required / capacity;
    }

    /** Computes the memory that requests may fill, in tokens times layers. */
    private double capacity(TargetHealth target, AcceleratorKind kind) {
        LayerRange held = target.entry().layers();
        int layers = held == null ? 0 : held.to() - held.from();
        return spec.tokenLayerCapacity(kind, layers) * target.capacityFraction();
    }

    private static boolean contains(PartialPath partial, TargetHealth target) {
        for (PartialPath current = partial; current != null; current = current.previous()) {
            if (current.hop() != null && current.hop().target() == target) {
                return true;
            }
        }
        return false;
    }

    private HopPath toHopPath(PartialPath last, double tokens, MemoryCheck memoryCheck) {
        List<Hop> hops = new ArrayList<>();
        double busiest = 0;
        for (PartialPath partial = last; partial != null && partial.hop() != null; partial = partial.previous()) {
            Hop hop = partial.hop();
            hops.add(0, hop);
            AcceleratorKind kind = spec.kinds().get(hop.target().entry().accelerator());
            if (kind != null && memoryCheck == MemoryCheck.ENFORCED) {
                busiest = Math.max(busiest, memoryShare(hop.target(), kind, tokens));
            }
        }
        return new HopPath(hops, last.cost() + BOTTLENECK_COST_MS * busiest);
    }
}
