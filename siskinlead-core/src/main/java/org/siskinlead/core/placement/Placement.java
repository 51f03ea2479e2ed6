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
public final class Placement {
    /** Name by which the placement is owned. */
    static final String NAME = "placement";

    private static final long PLAN_MS = 1_000;
    /** Time for which the targets must stay as they are before a plan is made. */
    private static final long STEADY_MS = 3_000;
    /** Least time between two orders, which paces the load on the weight store. */
    private static final long PACE_MS = 5_000;

    private final Membership membership;
    private final Fleet fleet;
    private final Orders orders;
    private final Timers timers;
    private final Timeline timeline;
    private final Supplier<Set<ModelVersion>> wanted;
    private List<String> lastSeen = List.of();
    private long steadySince;
    private long nextOrderAt;

    private Placement(
            Membership membership,
            Fleet fleet,
            Orders orders,
            Timers timers,
            Timeline timeline,
            Supplier<Set<ModelVersion>> wanted) {
        this.membership = membership;
        this.fleet = fleet;
        this.orders = orders;
        this.timers = timers;
        this.timeline = timeline;
        this.wanted = wanted;
    }

    /**
     * Starts the placement.
     * @param membership tells whether this daemon gives the orders
     * @param fleet targets as reported
     * @param orders way to the engines
     * @param timers time
     * @param timeline where events go
     * @param wanted models and versions that templates in force name
     * @return the placement
     */
    public static Placement of(
            Membership membership,
            Fleet fleet,
            Orders orders,
            Timers timers,
            Timeline timeline,
            Supplier<Set<ModelVersion>> wanted) {
        Placement placement = new Placement(membership, fleet, orders, timers, timeline, wanted);
        timers.every(PLAN_MS, placement::plan);
        return placement;
    }

    private void plan() {
        List<Target> usable = fleet.usable();
        if (!isSteady(usable) || !mayOrder() || timers.nowMillis() < nextOrderAt) {
            return;
        }
        PlacementPlanner.best(usable, wanted.get()).ifPresent(this::order);
    }

    private boolean isSteady(List<Target> usable) {
        List<String> seen = usable.stream()
                .map(t -> t.identity() + t.modelVersion() + t.layers())
                .toList();
        if (!seen.equals(lastSeen)) {
            lastSeen = seen;
            steadySince = timers.nowMillis();
        }
        return timers.nowMillis() - steadySince >= STEADY_MS;
    }

    private boolean mayOrder() {
        Head head = membership.head();
        boolean owner = Ownership.ownerOf(head, NAME)
                .filter(m -> m.id().equals(membership.self().id()))
                .isPresent();
        return owner && membership.isActive() && head.removed().stream().noneMatch(membership::mayHaveRunningWork);
    }

    private void order(Move move) {
        nextOrderAt = timers.nowMillis() + PACE_MS;
        Order order = new Order(membership.head().epoch(), move.target(), move.model(), move.layers());
        timeline.record(
                EventKind.ORDER_GIVEN,
                "target",
                move.target().id(),
                "layers",
                move.layers().from() + ".." + move.layers().to(),
                "fencing",
                order.fencing());
        orders.send(order, answer -> {
            if (answer != Orders.Answer.TAKEN) {
                timeline.record(EventKind.ORDER_REFUSED, "target", move.target().id(), "answer", answer);
            }
        });
    }
}
