package org.siskinlead.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.AcceleratorKind;
import org.siskinlead.core.catalog.Catalog;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.registry.EngineState;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Executes the layer plan by orders to engines, while this daemon is permitted to issue them. An order carries the
 * number of orders that its engine had accepted before, so an engine that has accepted another one refuses a delayed
 * order. Every ordered range fits the memory of its engine, so no order from any daemon can exceed it.
 */
public final class LayerPlacementController {
    private static final long TICK_INTERVAL_MS = 200;
    /** Time for which the set of engines must be unchanged before the first plan, so that it includes all of them. */
    private static final long STABLE_PERIOD_MS = 700;
    /**
     * Slowdown from which other engines should also hold the layers of an engine, since it delays every chain through
     * it.
     */
    private static final double SLOW_ENGINE_FACTOR = 4;
    /** Timeout of a probe of the state of an engine. */
    private static final long STATE_TIMEOUT_MS = 300;
    /** Time after which the engine is probed for the effect of an order that it did not answer. */
    private static final long UNANSWERED_ORDER_DELAY_MS = 1_500;
    /** Time after which an order without effect is abandoned. */
    private static final long ORDER_TIMEOUT_MS = 12_000;

    private final Supplier<@Nullable Catalog> catalog;
    private final TargetRegistry registry;
    private final TargetLink link;
    private final LayerOrderSender orders;
    private final BooleanSupplier mayIssueOrders;
    private final Timers timers;
    private final Timeline timeline;
    private final Map<String, PendingOrder> pendingOrders = new HashMap<>();
    private Set<String> lastInstanceIds = Set.of();
    private long unchangedSince;
    /** Placements of each service for which the plan had no changes; not planned again until they change. */
    private final Map<String, List<EnginePlacement>> convergedPlacements = new HashMap<>();

    /** Range that an engine was ordered to hold, until the engine is seen to hold it. */
    private static final class PendingOrder {
        private final LayerRange layers;
        private final long createdAt;
        private boolean accepted;
        private boolean stateRequested;

        PendingOrder(LayerRange layers, long createdAt) {
            this.layers = layers;
            this.createdAt = createdAt;
        }
    }

    private LayerPlacementController(
            Supplier<@Nullable Catalog> catalog,
            TargetRegistry registry,
            TargetLink link,
            LayerOrderSender orders,
            BooleanSupplier mayIssueOrders,
            Timers timers,
            Timeline timeline) {
        this.catalog = catalog;
        this.registry = registry;
        this.link = link;
        this.orders = orders;
        this.mayIssueOrders = mayIssueOrders;
        this.timers = timers;
        this.timeline = timeline;
    }

    /**
     * Starts periodic placement of layers.
     * @param catalog supplies the current catalog, or null before the first
     * @param registry registered targets
     * @param link connection to probe engines for their state
     * @param orders sender for orders to engines
     * @param mayIssueOrders determines whether this daemon may currently issue orders
     * @param timers clock and scheduler
     * @param timeline log of orders and completed placements
     * @return the running controller
     */
    public static LayerPlacementController start(
            Supplier<@Nullable Catalog> catalog,
            TargetRegistry registry,
            TargetLink link,
            LayerOrderSender orders,
            BooleanSupplier mayIssueOrders,
            Timers timers,
            Timeline timeline) {
        LayerPlacementController controller =
                new LayerPlacementController(catalog, registry, link, orders, mayIssueOrders, timers, timeline);
        timers.every(TICK_INTERVAL_MS, controller::reconcile);
        return controller;
    }

    private void reconcile() {
        Catalog current = catalog.get();
        if (current == null || !mayIssueOrders.getAsBoolean()) {
            pendingOrders.clear();
            return;
        }
        for (Service service : current.services()) {
            if (service.engine() != null) {
                reconcileService(service, service.engine());
            }
        }
    }

    private void reconcileService(Service service, EngineSpec spec) {
        List<TargetHealth> engines = new ArrayList<>();
        for (TargetHealth target : registry.of(service.name())) {
            if (target.isAvailable() && spec.kinds().containsKey(target.entry().accelerator())) {
                engines.add(target);
            }
        }
        engines.forEach(this::trackOrder);
        boolean initial = engines.stream().allMatch(e -> e.entry().layers() == null) && pendingOrders.isEmpty();
        if (engines.isEmpty() || (initial && !isStable(engines))) {
            return;
        }
        List<EnginePlacement> placements = placements(engines, spec);
        if (placements.equals(convergedPlacements.get(service.name()))) {
            return;
        }
        Map<String, LayerRange> moves = LayerPlanner.of(spec).plan(placements);
        if (moves.isEmpty()) {
            convergedPlacements.put(service.name(), placements);
            return;
        }
        int loading =
                (int) pendingOrders.values().stream().filter(o -> o.accepted).count();
        int allowed = initial ? moves.size() : spec.maxConcurrentLoads() - loading;
        for (TargetHealth engine : engines) {
            LayerRange wanted = moves.get(engine.entry().id());
            if (wanted != null
                    && allowed > 0
                    && !pendingOrders.containsKey(engine.entry().instanceId())) {
                allowed--;
                startOrder(engine, wanted);
            }
        }
    }

    private boolean isStable(List<TargetHealth> engines) {
        Set<String> instanceIds = new HashSet<>();
        engines.forEach(e -> instanceIds.add(e.entry().instanceId()));
        if (!instanceIds.equals(lastInstanceIds)) {
            lastInstanceIds = instanceIds;
            unchangedSince = timers.nowMillis();
        }
        return timers.nowMillis() - unchangedSince >= STABLE_PERIOD_MS;
    }

    private List<EnginePlacement> placements(List<TargetHealth> engines, EngineSpec spec) {
        List<EnginePlacement> placements = new ArrayList<>();
        for (TargetHealth engine : engines) {
            RegisteredTarget entry = engine.entry();
            AcceleratorKind kind = spec.kinds().get(entry.accelerator());
            PendingOrder order = pendingOrders.get(entry.instanceId());
            if (kind != null) {
                LayerRange layers = order == null ? entry.layers() : order.layers;
                placements.add(new EnginePlacement(
                        entry.id(),
                        entry.dataCentre(),
                        kind,
                        layers,
                        order == null,
                        engine.slowdown() >= SLOW_ENGINE_FACTOR));
            }
        }
        return placements;
    }

    private void startOrder(TargetHealth engine, LayerRange layers) {
        if (engine.isBackingOff()) {
            return;
        }
        PendingOrder order = new PendingOrder(layers, timers.nowMillis());
        pendingOrders.put(engine.entry().instanceId(), order);
        link.probe(engine.entry(), STATE_TIMEOUT_MS, probe -> {
            EngineState state = probe.state();
            if (state == null || state.busy() || !mayIssueOrders.getAsBoolean()) {
                pendingOrders.remove(engine.entry().instanceId(), order);
                return;
            }
            sendOrder(engine, order, state.acceptedOrders());
        });
    }

    private void sendOrder(TargetHealth engine, PendingOrder order, long expectedOrderCount) {
        RegisteredTarget entry = engine.entry();
        orders.sendOrder(entry, expectedOrderCount, order.layers, answer -> {
            timeline.record(
                    answer == OrderSender.Answer.REFUSED ? EventKind.ORDER_REFUSED : EventKind.ORDER_GIVEN,
                    "target",
                    entry.id(),
                    "layers",
                    order.layers.from() + "-" + order.layers.to(),
                    "held",
                    entry.layers() == null
                            ? "none"
                            : entry.layers().from() + "-" + entry.layers().to(),
                    "ordersBefore",
                    expectedOrderCount,
                    "answer",
                    answer);
            if (answer == OrderSender.Answer.REFUSED) {
                pendingOrders.remove(entry.instanceId(), order);
            } else if (answer == OrderSender.Answer.TAKEN) {
                order.accepted = true;
            }
        });
    }

    /**
     * Probes an engine that has a pending order. Removes the order once the engine holds the ordered layers, after its
     * time-out, or if the engine did not answer it and is not executing an order.
     */
    private void trackOrder(TargetHealth engine) {
        String instanceId = engine.entry().instanceId();
        PendingOrder order = pendingOrders.get(instanceId);
        if (order == null) {
            return;
        }
        long age = timers.nowMillis() - order.createdAt;
        if (order.layers.equals(engine.entry().layers()) || age > ORDER_TIMEOUT_MS) {
            pendingOrders.remove(instanceId, order);
            return;
        }
        if (engine.isBackingOff() || order.stateRequested || (!order.accepted && age < UNANSWERED_ORDER_DELAY_MS)) {
            return;
        }
        order.stateRequested = true;
        link.probe(engine.entry(), STATE_TIMEOUT_MS, probe -> {
            order.stateRequested = false;
            EngineState state = probe.state();
            if (state == null || state.busy()) {
                return;
            }
            engine.updateLayers(engine.entry().withLayers(state.layers()));
            if (order.layers.equals(state.layers())) {
                timeline.record(
                        EventKind.TARGET_PLACED,
                        "target",
                        engine.entry().id(),
                        "layers",
                        order.layers.from() + "-" + order.layers.to(),
                        "tookMs",
                        timers.nowMillis() - order.createdAt);
                registry.notifyListeners();
            }
            if (order.accepted ? order.layers.equals(state.layers()) : true) {
                pendingOrders.remove(instanceId, order);
            }
        });
    }
}
