package org.siskinlead.protocol.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection when a request stays incomplete or no request arrives for too long, and counts the connections on
 * which a request has begun to arrive and is not yet answered.
 */
final class ConnectionTimeouts {
    private final HttpLimits limits;
    private final AtomicInteger busyConnections;
    private @Nullable Future<?> closeTimer;
    private boolean receiving;

    ConnectionTimeouts(HttpLimits limits, AtomicInteger busyConnections) {
        this.limits = limits;
        this.busyConnections = busyConnections;
    }

    /** Creates a handler of raw bytes, which times a slowly sent header section from its first byte. */
    ChannelInboundHandlerAdapter beforeCodec() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelActive(ChannelHandlerContext context) {
                onIdle(context);
                context.fireChannelActive();
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (!receiving) {
                    receiving = true;
                    busyConnections.incrementAndGet();
                    scheduleClose(context, limits.headerMillis());
                }
                context.fireChannelRead(message);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                cancelTimer();
                onNotBusy();
                context.fireChannelInactive();
            }
        };
    }

    /** Creates a handler of decoded messages, which limits the silence within a body. */
    ChannelInboundHandlerAdapter afterCodec() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof LastHttpContent) {
                    cancelTimer();
                } else if (message instanceof HttpRequest || message instanceof HttpContent) {
                    scheduleClose(context, limits.idleMillis());
                }
                context.fireChannelRead(message);
            }
        };
    }

    /** Starts the idle timeout until the next request. */
    void onIdle(ChannelHandlerContext context) {
        onNotBusy();
        scheduleClose(context, limits.idleMillis());
    }

    private void onNotBusy() {
        if (receiving) {
            receiving = false;
            busyConnections.decrementAndGet();
        }
    }

    private void scheduleClose(ChannelHandlerContext context, long millis) {
        cancelTimer();
        closeTimer = context.executor().schedule(() -> context.close(), millis, TimeUnit.MILLISECONDS);
    }

    private void cancelTimer() {
        if (closeTimer != null) {
            closeTimer.cancel(false);
            closeTimer = null;
        }
    }
}
