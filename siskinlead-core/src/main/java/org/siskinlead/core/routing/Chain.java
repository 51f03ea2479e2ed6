package org.siskinlead.core.routing;

import java.util.List;

/**
 * Sequence of targets that together run every layer of a model exactly once and in order.
 * @param model model and version that all targets serve
 * @param targets targets in order of their layers
 */
public record Chain(ModelVersion model, List<Target> targets) {
    /**
     * Creates a chain.
     * @throws IllegalArgumentException if the ranges of the targets have a gap or an overlap, do not cover the model,
     *     or belong to another model
     */
    public Chain {
        targets = List.copyOf(targets);
        int next = 0;
        for (Target target : targets) {
            if (target.layers().from() != next || !target.modelVersion().equals(model)) {
                throw new IllegalArgumentException(
                        "target \"" + target.id() + "\" does not continue chain at layer " + next);
            }
            next = target.layers().to();
        }
        if (targets.isEmpty() || next != targets.get(0).totalLayers()) {
            throw new IllegalArgumentException("chain of " + model + " ends at layer " + next);
        }
    }
}
