package org.siskinlead.core.routing;

import java.util.List;

/** Selects the candidates in turn, regardless of their capacity. Serves as a baseline for comparison. */
public final class RoundRobinSelector implements NextTargetSelector {
    private int nextIndex;

    @Override
    public <C extends Candidate> C choose(List<C> candidates) {
        return candidates.get(Math.floorMod(nextIndex++, candidates.size()));
    }
}
