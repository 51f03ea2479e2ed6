package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Bytes of one kind that the connections of a process hold together, such as those of responses that are being received.
 * Beyond their bound the connection that holds most is closed, so that peers that send or leave bytes without end harm
 * no other connection. Used by several network threads.
 */
public final class ConnectionBytes {
    private final Map<Channel, Long> bytesByChannel = new HashMap<>();
    private final long maxBytes;
    private final Consumer<Channel> closer;
    private long totalBytes;

    private ConnectionBytes(long maxBytes, Consumer<Channel> closer) {
        this.maxBytes = maxBytes;
        this.closer = closer;
    }

    /**
     * Creates an account.
     * @param maxBytes bytes of all connections together
     * @param closer closes a connection, called on its network thread
     * @return the account, of which nothing is used
     */
    public static ConnectionBytes of(long maxBytes, Consumer<Channel> closer) {
        return new ConnectionBytes(maxBytes, closer);
    }

    /**
     * Gets what all connections hold.
     * @return bytes
     */
    public synchronized long totalBytes() {
        return totalBytes;
    }

    /**
     * Counts further bytes of a connection.
     * @param channel the connection
     * @param count number of bytes
     */
    public synchronized void add(Channel channel, int count) {
        set(channel, bytesByChannel.getOrDefault(channel, 0L) + count);
    }

    /**
     * Sets the bytes of a connection.
     * @param channel the connection
     * @param bytes all that it holds
     */
    public synchronized void set(Channel channel, long bytes) {
        Long before = bytes > 0 ? bytesByChannel.put(channel, bytes) : bytesByChannel.remove(channel);
        totalBytes += bytes - (before == null ? 0 : before);
        while (totalBytes > maxBytes) {
            Channel largest = bytesByChannel.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .orElseThrow(() -> new IllegalStateException("bytes are counted but no connection holds any"))
                    .getKey();
            release(largest);
            largest.eventLoop().execute(() -> closer.accept(largest));
        }
    }

    /**
     * Forgets the bytes of a connection that it holds no longer.
     * @param channel the connection
     */
    public synchronized void release(Channel channel) {
        Long bytes = bytesByChannel.remove(channel);
        totalBytes -= bytes == null ? 0 : bytes;
    }
}
