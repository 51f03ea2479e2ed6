package org.siskinlead.protocol.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection when a request stays incomplete or no request arrives for too long, and keeps the counts of such
 * connections.
 */
final class ConnectionTimeouts {
    private final Supplier<HttpLimits> limits;
    private final ConnectionCounts counts;
    private final ServerResources resources;
    private @Nullable Future<?> closeTimer;
    private boolean unused;
    private boolean busy;
    /** Requests that have arrived whole and are not yet answered; -1 while one arrives that was answered before its end. */
    private int unanswered;
    /** Whether bytes have arrived after the last whole request. */
    private boolean arriving;
    /** Whether the header section of the arriving request is complete. */
    private boolean arrivingBody;
    /** Whether a part of a body has arrived with the current read. */
    private boolean contentArrived;
    /** Whether the connection has ended; the codec may still pass on a part of a request. */
    private boolean ended;

    ConnectionTimeouts(Supplier<HttpLimits> limits, ConnectionCounts counts, ServerResources resources) {
        this.limits = limits;
        this.counts = counts;
        this.resources = resources;
    }

    /** Tells whether a request has arrived whole and is not yet answered. */
    boolean isAnswering() {
        return unanswered > 0;
    }

    /**
     * Creates a handler of raw bytes, which times a slowly sent header section from its first byte. It passes on the last
     * byte by itself: the codec completes a request with its last byte, so the next request has begun to arrive if the
     * last byte completes none.
     */
    ChannelInboundHandlerAdapter beforeCodec() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelActive(ChannelHandlerContext context) {
                counts.unused.incrementAndGet();
                unused = true;
                closeAll(resources.connections().admit(context.channel()));
                onIdle(context);
                context.fireChannelActive();
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                onUsed();
                if (!busy) {
                    busy = true;
                    counts.busy.incrementAndGet();
                    resources.connections().onNextRequest(context.channel());
                    scheduleClose(context, limits.get().headerMillis(), ConnectionEnd.HEADER_TIMEOUT);
                }
                arriving = true;
                if (message instanceof ByteBuf bytes && bytes.readableBytes() > 1) {
                    context.fireChannelRead(bytes.readRetainedSlice(bytes.readableBytes() - 1));
                    arriving = true;
                }
                context.fireChannelRead(message);
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                ended = true;
                cancelTimer();
                resources.counters().increment(ServerResources.endOf(context.channel()));
                resources.connections().remove(context.channel());
                onUsed();
                onNotBusy();
                context.fireChannelInactive();
            }
        };
    }

    /**
     * Creates a handler of decoded messages, which limits the silence within a body.
     * @param decoder decoder of the messages, which may hold a part of the next request
     */
    ChannelInboundHandlerAdapter afterCodec(RequestDecoder decoder) {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof LastHttpContent) {
                    cancelTimer();
                    unanswered++;
                    if (unanswered > 0) {
                        closeAll(resources.connections().onAnswering(context.channel()));
                    }
                    arriving = decoder.undecodedBytes() > 0;
                    arrivingBody = false;
                    if (unanswered == 0) {
                        if (arriving) {
                            scheduleArrivalTimeout(context);
                        } else {
                            onIdle(context);
                        }
                    }
                } else if (message instanceof HttpRequest request) {
                    arrivingBody = true;
                    if (request.decoderResult().isSuccess()) {
                        resources.connections().onHead(context.channel());
                    }
                    scheduleArrivalTimeout(context);
                } else if (message instanceof HttpContent) {
                    contentArrived = true;
                }
                context.fireChannelRead(message);
            }

            /** Restarts the timeout once for all parts of a read, of which there may be very many. */
            @Override
            public void channelReadComplete(ChannelHandlerContext context) {
                if (contentArrived && arrivingBody) {
                    scheduleArrivalTimeout(context);
                }
                contentArrived = false;
                context.fireChannelReadComplete();
            }
        };
    }

    /**
     * Starts the timeout of the next request, after the response to one.
     * @param wasRefused whether the request was refused for a fault of its own
     */
    void onResponded(ChannelHandlerContext context, boolean wasRefused) {
        unanswered--;
        resources.connections().onAnswered(context.channel(), wasRefused);
        if (arriving) {
            resources.connections().onNextRequest(context.channel());
            scheduleArrivalTimeout(context);
        } else if (unanswered == 0) {
            onIdle(context);
        }
    }

    private void onIdle(ChannelHandlerContext context) {
        onNotBusy();
        scheduleClose(context, limits.get().idleMillis(), ConnectionEnd.IDLE_TIMEOUT);
    }

    /** Limits the time until more of a request arrives, unless the connection is in use for an earlier one. */
    private void scheduleArrivalTimeout(ChannelHandlerContext context) {
        if (unanswered > 0) {
            return;
        }
        if (arrivingBody) {
            scheduleClose(context, limits.get().idleMillis(), ConnectionEnd.BODY_TIMEOUT);
        } else {
            scheduleClose(context, limits.get().headerMillis(), ConnectionEnd.HEADER_TIMEOUT);
        }
    }

    /** Closes connections at once, also those of other threads, so that none of their requests is handled any more. */
    private static void closeAll(List<Channel> excess) {
        for (Channel connection : excess) {
            ServerResources.close(connection, ConnectionEnd.TOO_MANY_CONNECTIONS);
        }
    }

    private void onUsed() {
        if (unused) {
            unused = false;
            counts.unused.decrementAndGet();
        }
    }

    private void onNotBusy() {
        if (busy) {
            busy = false;
            counts.busy.decrementAndGet();
        }
    }

    private void scheduleClose(ChannelHandlerContext context, long millis, ConnectionEnd end) {
        cancelTimer();
        if (ended) {
            return;
        }
        closeTimer = context.executor()
                .schedule(() -> ServerResources.close(context.channel(), end), millis, TimeUnit.MILLISECONDS);
    }

    private void cancelTimer() {
        if (closeTimer != null) {
            closeTimer.cancel(false);
            closeTimer = null;
        }
    }
}
