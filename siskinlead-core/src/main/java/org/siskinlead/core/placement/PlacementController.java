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
 * Restores lost layers by ordering engines to hold others, one load at a time. Only the owner of the placement gives
 * orders, and only while it is in standing and no removed member may still act. Orders carry the epoch as fencing
 * number. An engine that ignores the number may carry out a late order; that harms nothing but capacity, since routing
 * follows reports, and the plan is made anew from reports.
 */
public final class PlacementController {
    /** Name by which the placement is owned. */
    static final String OWNERSHIP_KEY = "placement";

    private static final long PLAN_INTERVAL_MS = 1_000;
    /** Time for which the targets must stay as they are before a plan is made. */
    private static final long STABLE_PERIOD_MS = 3_000;
    /** Least time between two orders, which paces the load on the weight store. */
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
     * Starts the placement.
     * @param membership tells whether this daemon gives the orders
     * @param fleet targets as reported
     * @param orders way to the engines
     * @param timers time
     * @param timeline where events go
     * @param requiredModels models and versions that templates in force name
     * @return the placement
     */
    public static PlacementController of(
            Membership membership,
            Fleet fleet,
            OrderSender orders,
            Timers timers,
            Timeline timeline,
            Supplier<Set<ModelVersion>> requiredModels) {
        PlacementController placement =
                new PlacementController(membership, fleet, orders, timers, timeline, requiredModels);
        timers.every(PLAN_INTERVAL_MS, placement::plan);
        return placement;
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
        return owner && membership.inStanding() && head.removed().stream().noneMatch(membership::mayStillRun);
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
