package org.siskinlead.core.routing;

import java.util.List;

/** Selects the candidate with the lowest ratio of load to weight. A remote data centre counts as additional load. */
public final class FlowWeightedSelector implements NextTargetSelector {
    private static final double REMOTE_LOAD_PENALTY = 0.25;

    @Override
    public <C extends Candidate> C choose(List<C> candidates) {
        C best = candidates.get(0);
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            C candidate = candidates.get(i);
            double cost = (candidate.load() + 1 + (candidate.remote() ? REMOTE_LOAD_PENALTY : 0)) / candidate.weight();
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }
}
