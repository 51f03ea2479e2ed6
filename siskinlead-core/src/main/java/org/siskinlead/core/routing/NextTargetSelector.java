package org.siskinlead.core.routing;

import java.util.List;

/** Strategy that chooses the next target of a chain among those that hold its next layers. */
public interface NextTargetSelector {
    /** Target that may be chosen, with its weight and load. */
    interface Candidate {
        /**
         * Gets the target.
         * @return state of the target as last reported
         */
        Target target();

        /**
         * Gets the weight of the target.
         * @return maximum flow through the target in tokens per second, or a small positive value if there is none
         */
        double weight();

        /**
         * Checks whether the target is in another data centre than this daemon.
         * @return true if it is remote
         */
        boolean remote();

        /**
         * Estimates the load of the target.
         * @return requests of this daemon in flight plus those that the engine reported for other daemons
         */
        double load();
    }

    /**
     * Chooses one candidate.
     * @param candidates targets whose ranges start at the same layer; must not be empty
     * @param <C> type of the candidates
     * @return one of the candidates
     */
    <C extends Candidate> C choose(List<C> candidates);
}
