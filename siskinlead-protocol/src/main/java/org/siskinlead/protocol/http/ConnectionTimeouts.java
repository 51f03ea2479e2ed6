package org.siskinlead.protocol.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection when a request stays incomplete or no request arrives for too long, and keeps the counts of such
 * connections.
 */
final class ConnectionTimeouts {
    private final HttpLimits limits;
    private final ConnectionCounts counts;
    private @Nullable Future<?> closeTimer;
    private boolean unused;
    private boolean receiving;

    ConnectionTimeouts(HttpLimits limits, ConnectionCounts counts) {
        this.limits = limits;
        this.counts = counts;
    }

    /** Creates a handler of raw bytes, which times a slowly sent header section from its first byte. */
    ChannelInboundHandlerAdapter beforeCodec() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelActive(ChannelHandlerContext context) {
                counts.unused.incrementAndGet();
                unused = true;
                onIdle(context);
                context.fireChannelActive();
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                onUsed();
                if (!receiving) {
                    receiving = true;
                    counts.busy.incrementAndGet();
                    scheduleClose(context, limits.headerMillis());
                }
                context.fireChannelRead(message);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                cancelTimer();
                onUsed();
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

    private void onUsed() {
        if (unused) {
            unused = false;
            counts.unused.decrementAndGet();
        }
    }

    private void onNotBusy() {
        if (receiving) {
            receiving = false;
            counts.busy.decrementAndGet();
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
