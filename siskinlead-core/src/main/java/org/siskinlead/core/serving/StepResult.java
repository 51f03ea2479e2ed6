package org.siskinlead.core.serving;

import org.siskinlead.core.routing.LayerRange;

/** Result of a step. */
public sealed interface StepResult {
    /**
     * The target ran the step.
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param position position of the token
     * @param version version of the model that ran
     * @param layers layers that ran
     * @param output output of the last layer; the token if it was the model's last
     */
    record Answered(String request, int attempt, int position, String version, LayerRange layers, String output)
            implements StepResult {}

    /**
     * The target said that it did not run the step.
     * @param reason what it said
     */
    record Declined(String reason) implements StepResult {}

    /** The step was never sent. */
    record NotSent() implements StepResult {}

    /** The connection broke after the step was sent. */
    record ConnectionLost() implements StepResult {}

    /** No answer came in time. */
    record TimedOut() implements StepResult {}
}
