package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.Map;

/**
 * Bytes of all responses that a client is receiving. Beyond their bound the largest response is given up, so that peers
 * whose responses never end harm no sound response beside them. Used by several network threads.
 */
final class ReceivedBytes {
    /** Bytes of all responses together; a heap of 96 MB also holds their copies while they are decoded. */
    static final int MAX_BYTES = 8_388_608;

    private final Map<Channel, Integer> bytesByChannel = new HashMap<>();
    private long totalBytes;

    /**
     * Counts received bytes; closes the connection of the largest response when there are too many in all.
     * @param channel connection on which they arrived
     * @param count number of bytes
     */
    synchronized void add(Channel channel, int count) {
        bytesByChannel.merge(channel, count, Integer::sum);
        totalBytes += count;
        while (totalBytes > MAX_BYTES) {
            Channel largest = bytesByChannel.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .orElseThrow(() -> new IllegalStateException("bytes are counted but no response is received"))
                    .getKey();
            release(largest);
            largest.eventLoop().execute(largest::close);
        }
    }

    /**
     * Forgets the bytes of a response that is complete or was given up.
     * @param channel its connection
     */
    synchronized void release(Channel channel) {
        Integer bytes = bytesByChannel.remove(channel);
        totalBytes -= bytes == null ? 0 : bytes;
    }
}
