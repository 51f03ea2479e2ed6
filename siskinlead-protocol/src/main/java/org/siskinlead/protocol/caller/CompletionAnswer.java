package org.siskinlead.protocol.caller;

import java.util.List;

/**
 * Response to a completion request that is not streamed.
 * @param id identifier of the request
 * @param model name of the model
 * @param choices exactly one completion
 */
public record CompletionAnswer(String id, String model, List<Choice> choices) {
    /**
     * Generated completion.
     * @param text generated text
     * @param index always 0
     */
    public record Choice(String text, int index) {}
}
