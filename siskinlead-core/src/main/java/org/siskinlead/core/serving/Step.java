package org.siskinlead.core.serving;

import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.routing.ModelVersion;

/**
 * Work for one target: one token through its layers.
 * @param request identifier of the request
 * @param attempt number of the attempt; each attempt uses one chain
 * @param position index of the token in the answer, from 0
 * @param model the model and version
 * @param layers layers that must run
 * @param prefill whether the input is, or is derived from, the whole context rather than the latest token
 * @param input context, token or output of the previous layers
 * @param priority priority of the request
 */
public record Step(
        String request,
        int attempt,
        int position,
        ModelVersion model,
        LayerRange layers,
        boolean prefill,
        String input,
        int priority) {}
