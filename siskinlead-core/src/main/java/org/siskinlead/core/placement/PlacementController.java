package org.siskinlead.core.placement;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.siskinlead.core.membership.Head;
import org.siskinlead.core.membership.Membership;
import org.siskinlead.core.membership.Ownership;
import org.siskinlead.core.placement.PlacementPlanner.Move;
import org.siskinlead.core.routing.Fleet;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.routing.Target;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.Timeline;

/**
 * Restores lost layers by ordering engines to load them, with a minimum time between two orders. Only the owner of the
 * placement issues orders, and only while its quorum lease is valid and no removed member may still be running. Orders
 * carry the membership epoch as fencing token. An engine that ignores the token may execute a delayed order; this
 * reduces capacity but does not affect correctness, because routing and planning use only what engines report.
 */
public final class PlacementController {
    /** Name under which ownership of the placement is assigned to a member. */
    static final String OWNERSHIP_KEY = "placement";

    private static final long PLAN_INTERVAL_MS = 1_000;
    /** Time for which the targets must be unchanged before a plan is made. */
    private static final long STABLE_PERIOD_MS = 3_000;
    /** Minimum time between two orders; limits the load on the weight store. */
    private static final long MIN_ORDER_INTERVAL_MS = 5_000;

    private final Membership membership;
    private final Fleet fleet;
    private final OrderSender orders;
    private final Timers timers;
    private final Timeline timeline;
    private final Supplier<Set<ModelVersion>> requiredModels;
    private List<String> lastFleetState = List.of();
    private long unchangedSince;
    private long nextOrderAt;

    private PlacementController(
            Membership membership,
            Fleet fleet,
            OrderSender orders,
            Timers timers,
            Timeline timeline,
            Supplier<Set<ModelVersion>> requiredModels) {
        this.membership = membership;
        this.fleet = fleet;
        this.orders = orders;
        this.timers = timers;
        this.timeline = timeline;
        this.requiredModels = requiredModels;
    }

    /**
     * Starts periodic planning.
     * @param membership determines whether this daemon may issue orders
     * @param fleet targets as reported
     * @param orders sender for orders to engines
     * @param timers clock and scheduler
     * @param timeline log of issued orders, and of those refused or unanswered
     * @param requiredModels supplies the models and versions that the templates in force refer to
     * @return the running controller
     */
    public static PlacementController start(
            Membership membership,
            Fleet fleet,
            OrderSender orders,
            Timers timers,
            Timeline timeline,
            Supplier<Set<ModelVersion>> requiredModels) {
        PlacementController controller =
                new PlacementController(membership, fleet, orders, timers, timeline, requiredModels);
        timers.every(PLAN_INTERVAL_MS, controller::plan);
        return controller;
    }

    private void plan() {
        List<Target> usable = fleet.usable();
        if (!isStable(usable) || !mayIssueOrders() || timers.nowMillis() < nextOrderAt) {
            return;
        }
        PlacementPlanner.findBestMove(usable, requiredModels.get()).ifPresent(this::issueOrder);
    }

    private boolean isStable(List<Target> usable) {
        List<String> seen = usable.stream()
                .map(t -> t.instanceId() + t.modelVersion() + t.layers())
                .toList();
        if (!seen.equals(lastFleetState)) {
            lastFleetState = seen;
            unchangedSince = timers.nowMillis();
        }
        return timers.nowMillis() - unchangedSince >= STABLE_PERIOD_MS;
    }

    private boolean mayIssueOrders() {
        Head head = membership.head();
        boolean owner = Ownership.ownerOf(head, OWNERSHIP_KEY)
                .filter(m -> m.id().equals(membership.self().id()))
                .isPresent();
        return owner && membership.isActive() && head.removed().stream().noneMatch(membership::mayHaveRunningWork);
    }

    private void issueOrder(Move move) {
        nextOrderAt = timers.nowMillis() + MIN_ORDER_INTERVAL_MS;
        Order order = new Order(membership.head().epoch(), move.target(), move.model(), move.layers());
        timeline.record(
                EventKind.ORDER_GIVEN,
                "target",
                move.target().id(),
                "layers",
                move.layers().from() + ".." + move.layers().to(),
                "fencing",
                order.fencingToken());
        orders.send(order, answer -> {
            if (answer != OrderSender.Answer.TAKEN) {
                timeline.record(EventKind.ORDER_REFUSED, "target", move.target().id(), "answer", answer);
            }
        });
    }
}
