package org.siskinlead.core.routing;

import java.util.List;

/** Selects the candidate with the lowest load, regardless of its capacity. Serves as a baseline for comparison. */
public final class LeastLoadedSelector implements NextTargetSelector {
    @Override
    public <C extends Candidate> C choose(List<C> candidates) {
        C best = candidates.get(0);
        for (C candidate : candidates) {
            if (candidate.load() < best.load()) {
                best = candidate;
            }
        }
        return best;
    }
}
