package org.siskinlead.protocol.http;

import io.netty.channel.Channel;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.TimeUnit;

/**
 * Limits what a connection reads in one turn of its network thread: one buffer, which grows while it is filled and shrinks
 * while its bytes take long to decode, so that no connection keeps the others waiting, whatever it sends.
 */
final class FairReads extends DefaultMaxMessagesRecvByteBufAllocator {
    static final int MIN_READ_BYTES = 64;
    static final int MAX_READ_BYTES = 16_384;
    private static final int INITIAL_READ_BYTES = 2_048;
    /** Time for which the bytes of one read should keep the network thread at most. */
    static final long MAX_TURN_NANOS = TimeUnit.MICROSECONDS.toNanos(250);

    private FairReads() {
        super(1);
    }

    /** Creates a setting, which connections may share. */
    static FairReads create() {
        return new FairReads();
    }

    /** Tells how long it took to decode the bytes that a connection read last. */
    static void onDecoded(Channel channel, long nanos) {
        RecvByteBufAllocator.Handle handle = channel.unsafe().recvBufAllocHandle();
        if (handle instanceof ReadSize size && nanos > MAX_TURN_NANOS) {
            size.shrink();
        }
    }

    @Override
    public Handle newHandle() {
        return new ReadSize();
    }

    private final class ReadSize extends MaxMessageHandle {
        private int next = INITIAL_READ_BYTES;
        private int last = INITIAL_READ_BYTES;

        @Override
        public int guess() {
            return next;
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            if (bytes <= 0) {
                return;
            }
            last = bytes;
            if (bytes >= next) {
                next = Math.min(MAX_READ_BYTES, 2 * next);
            } else if (bytes < next / 4) {
                next = Math.max(INITIAL_READ_BYTES, next / 2);
            }
        }

        void shrink() {
            next = Math.max(MIN_READ_BYTES, Math.min(next, last) / 2);
        }
    }
}
