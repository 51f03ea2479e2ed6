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
import org.siskinlead.core.chains.PathFinder.MemoryCheck;
import org.siskinlead.core.registry.TargetHealth;

/** Chooses the target, or the path of targets, for a request. */
final class TargetChooser {
    /** Spread of the costs, so that daemons do not all take the same target. */
    private static final double TIE_BREAK = 0.3;

    private final ForwardingContext context;

    TargetChooser(ForwardingContext context) {
        this.context = context;
    }

    /** A target that receives a request, and the path on from it for model engines. */
    record Choice(TargetHealth target, @Nullable HopPath path) {}

    /**
     * Chooses.
     * @param call the request
     * @param excluded lives that the request must not go to again
     * @param room whether the request must fit in the memory that is left
     */
    Optional<Choice> choose(Admitted call, Set<String> excluded, MemoryCheck room) {
        List<TargetHealth> usable = new ArrayList<>();
        for (TargetHealth target : context.registry().of(call.service().name())) {
            if (target.isUsable() && !excluded.contains(target.entry().instanceId())) {
                usable.add(target);
            }
        }
        EngineSpec engine = call.service().engine();
        if (engine != null) {
            return PathFinder.of(engine, LoadScale.of(usable, context.daemons().getAsInt()))
                    .find(usable, call.expectedTokens(), room)
                    .map(path -> new Choice(path.first().target(), path));
        }
        return leastCost(usable).map(target -> new Choice(target, null));
    }

    private Optional<TargetHealth> leastCost(List<TargetHealth> usable) {
        TargetHealth best = null;
        double least = Double.MAX_VALUE;
        for (TargetHealth target : usable) {
            double cost = target.cost() * (1 + TIE_BREAK * context.random().nextDouble());
            if (cost < least) {
                best = target;
                least = cost;
            }
        }
        return Optional.ofNullable(best);
    }
}
