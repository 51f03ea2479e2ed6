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

/** Chooses a target, or a path of targets through all layers of a model, for a request. */
final class TargetChooser {
    /** Maximum random increase of a cost, as a fraction, so that daemons do not all choose the same target. */
    private static final double COST_JITTER = 0.3;

    private final ForwardingContext context;

    TargetChooser(ForwardingContext context) {
        this.context = context;
    }

    /** The target to which a request is sent, and for model engines the path that starts there. */
    record Choice(TargetHealth target, @Nullable HopPath path) {}

    /**
     * Chooses the target or path with the least cost.
     * @param request the request
     * @param excludedInstances target instances to which the request must not be sent
     * @param memoryCheck whether the request must fit in the free memory of the targets
     * @return the choice, empty when no target or path is usable
     */
    Optional<Choice> choose(AdmittedRequest request, Set<String> excludedInstances, MemoryCheck memoryCheck) {
        List<TargetHealth> usable = new ArrayList<>();
        for (TargetHealth target : context.registry().of(request.service().name())) {
            if (target.isUsable() && !excludedInstances.contains(target.entry().instanceId())) {
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

    /**
     * Gets the shortest time until a target of the service may be used.
     * @param request the request
     * @return milliseconds; 0 when one may be used now, or none is in service
     */
    long millisToUse(AdmittedRequest request) {
        return context.registry().of(request.service().name()).stream()
                .filter(TargetHealth::isAvailable)
                .mapToLong(TargetHealth::millisToUse)
                .min()
                .orElse(0);
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
