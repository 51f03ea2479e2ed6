package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.chains.LoadScale;
import org.siskinlead.core.chains.PathFinder;
import org.siskinlead.core.chains.PathFinder.Room;
import org.siskinlead.core.registry.TargetHealth;

/** Chooses the target, or the path of targets, for a request. */
final class TargetChooser {
    /** Spread of the costs, so that daemons do not all take the same target. */
    private static final double COST_JITTER = 0.3;

    private final ForwardingContext context;

    TargetChooser(ForwardingContext context) {
        this.context = context;
    }

    /** A target that receives a request, and the path on from it for model engines. */
    record Choice(TargetHealth target, @Nullable HopPath path) {}

    /**
     * Chooses.
     * @param request the request
     * @param excludedInstances lives that the request must not go to again
     * @param memoryCheck whether the request must fit in the memory that is left
     */
    Optional<Choice> choose(AdmittedRequest request, Set<String> excludedInstances, Room memoryCheck) {
        List<TargetHealth> usable = new ArrayList<>();
        for (TargetHealth target : context.registry().of(request.service().name())) {
            if (target.isUsable() && !excludedInstances.contains(target.entry().life())) {
                usable.add(target);
            }
        }
        EngineSpec engine = request.service().engine();
        if (engine != null) {
            return PathFinder.of(
                            engine, LoadScale.of(usable, context.daemonCount().getAsInt()))
                    .find(usable, request.expectedTokens(), memoryCheck)
                    .map(path -> new Choice(path.first().target(), path));
        }
        return leastCost(usable).map(target -> new Choice(target, null));
    }

    private Optional<TargetHealth> leastCost(List<TargetHealth> usable) {
        TargetHealth best = null;
        double least = Double.MAX_VALUE;
        for (TargetHealth target : usable) {
            double cost = target.cost() * (1 + COST_JITTER * context.random().nextDouble());
            if (cost < least) {
                best = target;
                least = cost;
            }
        }
        return Optional.ofNullable(best);
    }
}
