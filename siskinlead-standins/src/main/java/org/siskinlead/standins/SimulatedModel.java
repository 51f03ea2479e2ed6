package org.siskinlead.standins;

import java.util.ArrayList;
import java.util.List;

/**
 * Deterministic arithmetic in place of a model. Each token depends on the whole context, hashed with 64-bit FNV-1a over
 * UTF-16 units, and on every layer, applied once and in order.
 */
final class SimulatedModel {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int VOCABULARY_SIZE = 10_000;

    private SimulatedModel() {}

    static long hashContext(String text) {
        return extendContext(FNV_OFFSET, text);
    }

    static long extendContext(long hash, String text) {
        long next = hash;
        for (int i = 0; i < text.length(); i++) {
            next = (next ^ text.charAt(i)) * FNV_PRIME;
        }
        return next;
    }

    static long applyLayer(long activation, int layer) {
        // The multiplier is 2^64 divided by the golden ratio, as in Fibonacci hashing.
        long mixed = (activation + layer + 1) * 0x9E3779B97F4A7C15L;
        return mixed ^ (mixed >>> 31);
    }

    static String toToken(long activation) {
        return "w" + Long.remainderUnsigned(activation, VOCABULARY_SIZE);
    }

    /** Computes the tokens that a correct pipeline returns for a prompt. */
    static List<String> expectedTokens(String prompt, int tokens, int totalLayers) {
        List<String> answer = new ArrayList<>();
        long context = hashContext(prompt);
        for (int i = 0; i < tokens; i++) {
            long activation = context;
            for (int layer = 0; layer < totalLayers; layer++) {
                activation = applyLayer(activation, layer);
            }
            String token = toToken(activation);
            answer.add(token);
            context = extendContext(context, " " + token);
        }
        return answer;
    }
}
