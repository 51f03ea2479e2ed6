package org.siskinlead.core.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Memory for all responses that this daemon is buffering. When it is used up, the largest response is given up, so that
 * targets whose answers never end harm no sound answer beside them.
 */
final class ResponseMemory {
    /** Bytes of all buffered responses together; a heap of 96 MB also holds their copies while they are sent. */
    static final int MAX_BYTES = 8_388_608;

    private final Map<Holder, Integer> bytesByHolder = new LinkedHashMap<>();
    private long usedBytes;

    /** Buffers a response. */
    interface Holder {
        /** Gives the response up; its memory has been released. */
        void onMemoryExhausted();
    }

    /**
     * Counts bytes that a holder has buffered; may give up a response, also the holder's own.
     * @param holder the holder
     * @param count number of bytes
     */
    void onBuffered(Holder holder, int count) {
        bytesByHolder.merge(holder, count, Integer::sum);
        usedBytes += count;
        while (usedBytes > MAX_BYTES) {
            Holder largest = largest();
            release(largest);
            largest.onMemoryExhausted();
        }
    }

    /**
     * Releases all memory of a holder.
     * @param holder the holder, which may hold none
     */
    void release(Holder holder) {
        Integer released = bytesByHolder.remove(holder);
        usedBytes -= released == null ? 0 : released;
    }

    private Holder largest() {
        return bytesByHolder.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow(() -> new IllegalStateException("memory is used but no response is buffered"))
                .getKey();
    }
}
