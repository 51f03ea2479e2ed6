package org.siskinlead.core.serving;

import org.siskinlead.core.routing.LayerRange;

/** Result of a step. */
public sealed interface StepResult {
    /**
     * The target ran the step.
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param position index of the token in the answer, from 0
     * @param version version of the model that ran
     * @param layers layers that ran
     * @param output output of the last layer that ran; the token if it is the model's last layer
     */
    record Answered(String request, int attempt, int position, String version, LayerRange layers, String output)
            implements StepResult {}

    /**
     * The target declined the step and did not run it.
     * @param reason reason given by the target
     */
    record Declined(String reason) implements StepResult {}

    /** The step was never sent. */
    record NotSent() implements StepResult {}

    /** The connection broke after the step was sent. */
    record ConnectionLost() implements StepResult {}

    /** No answer arrived before the timeout. */
    record TimedOut() implements StepResult {}
}
