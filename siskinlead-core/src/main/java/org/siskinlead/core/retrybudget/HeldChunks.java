package org.siskinlead.core.retrybudget;

import java.util.ArrayList;
import java.util.List;

/** Chunks that this daemon holds for one service. */
final class HeldChunks {
    private final List<Chunk> chunks = new ArrayList<>();

    int available(RetryBudgetShare.Purpose purpose) {
        return chunks.stream().mapToInt(chunk -> chunk.available(purpose)).sum();
    }

    void add(Chunk chunk) {
        chunks.removeIf(Chunk::isOver);
        chunks.add(chunk);
    }

    /** Takes one retry, if possible from a chunk that other purposes can't use; returns false without one. */
    boolean tryTake(RetryBudgetShare.Purpose purpose) {
        chunks.removeIf(Chunk::isOver);
        Chunk chosen = null;
        for (Chunk chunk : chunks) {
            if (chunk.available(purpose) > 0 && (chosen == null || (chosen.isShared() && !chunk.isShared()))) {
                chosen = chunk;
            }
        }
        if (chosen == null) {
            return false;
        }
        chosen.take();
        return true;
    }
}
