package org.siskinlead.core.catalog;

import java.util.Map;

/**
 * Model, memory and timing parameters of the engines of a service.
 * @param model name of the model
 * @param layers number of layers of the model
 * @param layerMb size of the weights of one layer, in megabytes
 * @param kvBytesPerToken KV cache memory of one token over all layers, in bytes
 * @param stepMillis duration of a decode step over all layers on the reference accelerator, in milliseconds
 * @param perSequenceMillis time that each running request adds to a decode step, in milliseconds
 * @param contextMillisPerThousandTokens time that each 1000 tokens of context add to a decode step, in milliseconds
 * @param prefillTokensPerSecond prefill rate on the reference accelerator, in prompt tokens per second
 * @param modelLoadSeconds time to load the whole model, in seconds
 * @param maxConcurrentLoads number of concurrent loads that the weight store serves at full speed
 * @param meanPromptTokens mean length of a prompt, in tokens
 * @param meanAnswerTokens mean length of an answer, in tokens
 * @param stepsPerPass decode steps of a pass, whose tokens are written as one event
 * @param slots number of requests that an engine runs concurrently as first hop of a chain
 * @param activationBytesPerToken data of one token that passes from hop to hop, in bytes
 * @param interconnectMbps capacity of the link that all data centres share, in megabits a second; 0 when it is not limited
 * @param kinds accelerator kinds by name
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
        int stepsPerPass,
        int slots,
        double activationBytesPerToken,
        double interconnectMbps,
        Map<String, AcceleratorKind> kinds) {
    private static final double BYTES_PER_MB = 1_000_000;

    private static final double BITS_PER_BYTE = 8;
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Computes for how long tokens occupy the link between data centres at one crossing.
     * @param tokens number of tokens
     * @return time in milliseconds, 0 when the link is not limited
     */
    public double crossingMillis(double tokens) {
        return interconnectMbps <= 0
                ? 0
                : tokens
                        * activationBytesPerToken
                        * BITS_PER_BYTE
                        / BYTES_PER_MB
                        / interconnectMbps
                        * MILLIS_PER_SECOND;
    }

    /**
     * Computes the KV cache memory of one token in one layer.
     * @return memory in megabytes
     */
    public double kvMbPerTokenLayer() {
        return kvBytesPerToken / layers / BYTES_PER_MB;
    }

    /**
     * Computes the KV cache capacity that layer weights leave on an accelerator.
     * @param kind accelerator kind
     * @param held number of layers whose weights it holds
     * @return capacity in tokens times layers, at least 0
     */
    public double tokenLayerCapacity(AcceleratorKind kind, int held) {
        return Math.max(0, kind.memoryMb() - held * layerMb) / kvMbPerTokenLayer();
    }

    /**
     * Computes how many layers an accelerator can hold together with KV cache for a number of tokens in each.
     * @param kind accelerator kind
     * @param tokens tokens whose KV cache must fit in each layer
     * @return number of layers, at most that of the model
     */
    public int maxLayersFor(AcceleratorKind kind, double tokens) {
        return (int) Math.min(layers, kind.memoryMb() / (layerMb + tokens * kvMbPerTokenLayer()));
    }
}
