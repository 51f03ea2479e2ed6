package org.siskinlead.core.catalog;

import java.util.Map;

/**
 * What the engines of a service hold and how fast they are.
 * @param model name of the model
 * @param layers layers of the model
 * @param layerMb size of a layer, in megabytes
 * @param kvBytesPerToken memory of one token over all layers, in bytes
 * @param stepMillis time of a token step over all layers on the reference accelerator, in milliseconds
 * @param perSequenceMillis what each running request adds to a step, in milliseconds
 * @param contextMillisPerThousandTokens what each thousand tokens of context add to a step, in milliseconds
 * @param prefillTokensPerSecond prompt tokens read in a second on the reference accelerator
 * @param modelLoadSeconds time to load the whole model, in seconds
 * @param maxConcurrentLoads loads that the weight store serves at full speed
 * @param meanPromptTokens mean prompt, in tokens
 * @param meanAnswerTokens mean answer, in tokens
 * @param slots requests that one engine runs at once as the first of a chain
 * @param kinds kinds of accelerator by name
 */
public record EngineSpec(
        String model,
        int layers,
        double layerMb,
        double kvBytesPerToken,
        double stepMillis,
        double perSequenceMillis,
        double contextMillisPerThousandTokens,
        double prefillTokensPerSecond,
        double modelLoadSeconds,
        int maxConcurrentLoads,
        int meanPromptTokens,
        int meanAnswerTokens,
        int slots,
        Map<String, AcceleratorKind> kinds) {
    private static final double BYTES_PER_MB = 1_000_000;

    /**
     * Gets the memory that one token takes in one layer.
     * @return megabytes
     */
    public double kvMbPerTokenLayer() {
        return kvBytesPerToken / layers / BYTES_PER_MB;
    }

    /**
     * Gets the room for requests on an accelerator.
     * @param kind kind of accelerator
     * @param held layers that it holds
     * @return tokens times layers that fit beside the layers
     */
    public double tokenLayerCapacity(AcceleratorKind kind, int held) {
        return Math.max(0, kind.memoryMb() - held * layerMb) / kvMbPerTokenLayer();
    }

    /**
     * Gets the most layers that leave room for a number of tokens in each.
     * @param kind kind of accelerator
     * @param tokens tokens that must fit in each layer
     * @return number of layers, at most those of the model
     */
    public int maxLayersFor(AcceleratorKind kind, double tokens) {
        return (int) Math.min(layers, kind.memoryMb() / (layerMb + tokens * kvMbPerTokenLayer()));
    }
}
