package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Limits what a connection reads in one turn of its network thread: one buffer, which grows while the input is cheap to
 * decode and is small while it is expensive, so that no connection keeps the others waiting.
 */
public final class FairReads extends DefaultMaxMessagesRecvByteBufAllocator {
    /**
     * Bytes that the operating system holds for a connection until they are read. Without a bound it takes several MB,
     * which would still be decoded after the peer has gone.
     */
    public static final int RECEIVE_BUFFER_BYTES = 65_536;

    static final int EXPENSIVE_READ_BYTES = 1_024;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16_384;
    /** Input is expensive if an element of it, such as a chunk or a header line, has fewer bytes on average. */
    private static final int CHEAP_ELEMENT_BYTES = 16;

    private FairReads() {
        super(1);
    }

    /**
     * Creates a setting for connections.
     * @return the setting, which connections may share
     */
    public static FairReads create() {
        return new FairReads();
    }

    /** Tells how many elements were decoded from the bytes that a connection read last. */
    static void onDecoded(Channel channel, int elements, int bytes) {
        RecvByteBufAllocator.Handle handle = channel.unsafe().recvBufAllocHandle();
        if (handle instanceof ReadSize size) {
            size.onDecoded(elements, bytes);
        }
    }

    @Override
    public Handle newHandle() {
        return new ReadSize();
    }

    private final class ReadSize extends MaxMessageHandle {
        private int next = INITIAL_READ_BYTES;

        @Override
        public int guess() {
            return next;
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            if (bytes >= next) {
                next = Math.min(MAX_READ_BYTES, 2 * next);
            } else if (bytes < next / 4) {
                next = Math.max(INITIAL_READ_BYTES, next / 2);
            }
        }

        void onDecoded(int elements, int bytes) {
            if (bytes >= EXPENSIVE_READ_BYTES && (long) elements * CHEAP_ELEMENT_BYTES > bytes) {
                next = EXPENSIVE_READ_BYTES;
            }
        }
    }
}
