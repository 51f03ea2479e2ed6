package org.siskinlead.protocol.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Watches the responses of a connection that its peer does not read: charges them to the account of all connections, and
 * closes the connection when the peer has read nothing for the time for which it may be silent.
 */
final class UnsentBytes extends ChannelOutboundHandlerAdapter {
    private static final long CHECK_INTERVAL_MS = 1_000;

    private final Supplier<HttpLimits> limits;
    private final ServerResources resources;
    private boolean watching;
    private @Nullable Object lastMessage;
    private long lastProgress;
    private long lastPending;
    private long lastProgressAtNanos;

    private UnsentBytes(Supplier<HttpLimits> limits, ServerResources resources) {
        this.limits = limits;
        this.resources = resources;
    }

    /**
     * Creates a handler for one connection.
     * @param limits supplies the limits in force
     * @param resources account and counters
     */
    static UnsentBytes of(Supplier<HttpLimits> limits, ServerResources resources) {
        return new UnsentBytes(limits, resources);
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        context.flush();
        if (watching) {
            resources.unsent().set(context.channel(), pendingBytes(context));
        } else if (pendingBytes(context) > 0) {
            watching = true;
            lastMessage = null;
            lastProgressAtNanos = System.nanoTime();
            check(context);
        }
    }

    private void check(ChannelHandlerContext context) {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        long pending = pendingBytes(context);
        resources.unsent().set(context.channel(), pending);
        if (buffer == null || pending == 0) {
            watching = false;
            lastMessage = null;
            return;
        }
        long now = System.nanoTime();
        // Without a current message, what is pending was not handed to the operating system yet, so no peer could read
        // it.
        if (buffer.current() == null
                || buffer.current() != lastMessage
                || buffer.currentProgress() != lastProgress
                || pending != lastPending) {
            lastPending = pending;
            lastMessage = buffer.current();
            lastProgress = buffer.currentProgress();
            lastProgressAtNanos = now;
        }
        if (now - lastProgressAtNanos
                >= TimeUnit.MILLISECONDS.toNanos(limits.get().idleMillis())) {
            ServerResources.close(context.channel(), ConnectionEnd.UNREAD_RESPONSE);
        }
        context.executor().schedule(() -> check(context), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private static long pendingBytes(ChannelHandlerContext context) {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
