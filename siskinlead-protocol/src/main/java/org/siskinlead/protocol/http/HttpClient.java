package org.siskinlead.protocol.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.forwarding.HeaderField;

/** Sends HTTP/1.1 requests over pooled or new connections. A connection carries one exchange at a time. */
public final class HttpClient {
    private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 128;
    private static final int MAX_RESPONSE_BYTES = 2_000_000;
    private static final int MAX_HEAD_LINE_BYTES = 8_192;
    /** Pieces of a body after which their average size must be at least {@link #MIN_AVERAGE_PIECE_BYTES}. */
    private static final int MAX_TINY_PIECES = 1_024;
    /** Smaller pieces cost more to decode than they bring. */
    private static final int MIN_AVERAGE_PIECE_BYTES = 8;
    /** Interim responses (1xx) accepted before the final one. */
    private static final int MAX_INTERIM_RESPONSES = 8;
    /** Largest read from a connection before other connections have their turn. */
    private static final int MAX_READ_BYTES = 16_384;

    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final AttributeKey<Exchange> EXCHANGE = AttributeKey.valueOf("exchange");

    /** Bytes of all responses together; a heap of 96 MB also holds their copies while they are decoded. */
    static final int MAX_RECEIVED_BYTES = 8_388_608;

    private final EventLoopGroup group;
    private final int connectTimeoutMillis;
    private final Map<InetSocketAddress, Deque<Channel>> idleChannels = new ConcurrentHashMap<>();
    private final ConnectionBytes received = ConnectionBytes.of(MAX_RECEIVED_BYTES, Channel::close);

    private HttpClient(EventLoopGroup group, int connectTimeoutMillis) {
        this.group = group;
        this.connectTimeoutMillis = connectTimeoutMillis;
    }

    /**
     * Creates a client.
     * @param group network threads
     * @param connectTimeoutMillis longest time to establish a connection, in milliseconds
     * @return the client
     */
    public static HttpClient of(EventLoopGroup group, int connectTimeoutMillis) {
        return new HttpClient(group, connectTimeoutMillis);
    }

    /** Reason why an exchange ended without a response. */
    public enum Failure {
        /** The connection was refused; nothing was sent. */
        REFUSED,
        /** No connection for another reason, such as the timeout; nothing was sent. */
        UNREACHABLE,
        /** The connection closed or failed after the request may have been sent. */
        BROKEN,
        /** The body is longer than this client takes. */
        TOO_LONG,
        /** No complete response arrived in time. */
        TIMED_OUT
    }

    /**
     * Result of an exchange.
     * @param failure why there is no response, or null if there is one
     * @param status HTTP status; 0 without a response
     * @param headers header fields of the response; empty without a response
     * @param body body of the response; empty without a response
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Result(@Nullable Failure failure, int status, List<HeaderField> headers, byte[] body) {
        /**
         * Creates the result of an exchange without a response.
         * @param failure why there is none
         * @return the result
         */
        public static Result failed(Failure failure) {
            return new Result(failure, 0, List.of(), new byte[0]);
        }
    }

    /** Whether an exchange may reuse a connection. */
    public enum Reuse {
        /**
         * Reuses an idle connection if any; if the peer has just closed it, the exchange is {@code BROKEN}. A peer that
         * sends an answer twice can spoil the next exchange, so the answer must name what it answers.
         */
        POOLED,
        /**
         * Opens a connection for this exchange only, so that a refusal proves that nothing was sent, and the answer
         * cannot be a late copy of an earlier one.
         */
        FRESH
    }

    /**
     * Sends a request.
     * @param address IP address and port
     * @param method HTTP method
     * @param uri path and query
     * @param headers header fields to set besides, or in place of, Host, Content-Type (JSON) and Content-Length
     * @param body body of the request
     * @param timeoutMillis longest time from writing the request to the complete response, in milliseconds
     * @param reuse whether a pooled connection may be used
     * @param onResult receives the result once, on a network thread
     */
    public void send(
            InetSocketAddress address,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            Reuse reuse,
            Consumer<Result> onResult) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        headers.forEach((name, value) -> request.headers().set(name, value));
        if (reuse == Reuse.FRESH) {
            request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        Exchange exchange = new Exchange(address, reuse, onResult);
        Channel pooled = reuse == Reuse.POOLED ? takeIdleChannel(address) : null;
        if (pooled != null) {
            write(pooled, exchange, request, timeoutMillis);
            return;
        }
        connect(address).addListener(done -> {
            ChannelFuture connected = (ChannelFuture) done;
            if (connected.isSuccess()) {
                write(connected.channel(), exchange, request, timeoutMillis);
            } else {
                request.release();
                boolean refused = connected.cause() instanceof java.net.ConnectException
                        && !(connected.cause() instanceof io.netty.channel.ConnectTimeoutException);
                exchange.end(Result.failed(refused ? Failure.REFUSED : Failure.UNREACHABLE));
            }
        });
    }

    private ChannelFuture connect(InetSocketAddress address) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        socket.pipeline()
                                .addLast(new ResponseCheck(MAX_HEAD_LINE_BYTES))
                                .addLast(new HttpClientCodec())
                                .addLast(new ResponseHandler());
                    }
                })
                .connect(address);
    }

    private @Nullable Channel takeIdleChannel(InetSocketAddress address) {
        Deque<Channel> channels = idleChannels.get(address);
        if (channels == null) {
            return null;
        }
        synchronized (channels) {
            Channel channel = channels.pollLast();
            while (channel != null && !channel.isActive()) {
                channel = channels.pollLast();
            }
            return channel;
        }
    }

    private void releaseChannel(InetSocketAddress address, Channel channel) {
        Deque<Channel> channels = idleChannels.computeIfAbsent(address, a -> new ArrayDeque<>());
        synchronized (channels) {
            if (channel.isActive() && channels.size() < MAX_IDLE_CONNECTIONS_PER_ADDRESS) {
                channels.addLast(channel);
            } else {
                channel.close();
            }
        }
    }

    private void write(Channel channel, Exchange exchange, DefaultFullHttpRequest request, long timeoutMillis) {
        channel.attr(EXCHANGE).set(exchange);
        exchange.timeout = channel.eventLoop()
                .schedule(
                        () -> {
                            exchange.end(Result.failed(Failure.TIMED_OUT));
                            channel.close();
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        channel.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                exchange.end(Result.failed(Failure.BROKEN));
                channel.close();
            }
        });
    }

    /** Receives one response at a time. It ends with the read that completes it, so that what follows is seen first. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private @Nullable HttpResponse head;
        private boolean interim;
        private int interimResponses;
        private int pieces;
        private boolean complete;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            Exchange exchange = context.channel().attr(EXCHANGE).get();
            if (exchange == null || complete) {
                // Belongs to no request.
                context.close();
            } else if (message.decoderResult().isFailure() || !accept(context, message)) {
                fail(context);
            }
        }

        /** Takes the next part of a response; returns false when it cannot belong to a sound one. */
        private boolean accept(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpResponse response && !acceptHead(response)) {
                return false;
            }
            return !(message instanceof HttpContent content) || interim || acceptContent(context, content);
        }

        private boolean acceptHead(HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (interim) {
                interimResponses++;
                return interimResponses <= MAX_INTERIM_RESPONSES
                        && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            }
            head = response;
            return true;
        }

        private boolean acceptContent(ChannelHandlerContext context, HttpContent content) {
            int length = content.content().readableBytes();
            if (length > 0) {
                pieces++;
                byte[] part = new byte[length];
                content.content().readBytes(part);
                body.writeBytes(part);
                received.add(context.channel(), length);
            }
            complete = content instanceof LastHttpContent;
            return !isTooLong() && (pieces <= MAX_TINY_PIECES || body.size() >= MIN_AVERAGE_PIECE_BYTES * pieces);
        }

        private boolean isTooLong() {
            return body.size() > MAX_RESPONSE_BYTES;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            endIfComplete(context);
            context.fireChannelReadComplete();
        }

        private void endIfComplete(ChannelHandlerContext context) {
            HttpResponse response = head;
            Exchange exchange = complete ? context.channel().attr(EXCHANGE).getAndSet(null) : null;
            if (exchange == null || response == null) {
                return;
            }
            List<HeaderField> headers = new ArrayList<>();
            response.headers().forEach(h -> headers.add(new HeaderField(h.getKey(), h.getValue())));
            Result result = new Result(null, response.status().code(), headers, body.toByteArray());
            reset(context);
            boolean reusable = context.pipeline().get(ResponseCheck.class).expectAnother();
            if (exchange.reuse == Reuse.POOLED && HttpUtil.isKeepAlive(response) && reusable) {
                releaseChannel(exchange.address, context.channel());
            } else {
                context.close();
            }
            exchange.end(result);
        }

        private void reset(ChannelHandlerContext context) {
            received.release(context.channel());
            body.reset();
            head = null;
            interimResponses = 0;
            pieces = 0;
            complete = false;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            endIfComplete(context);
            fail(context);
        }

        /**
         * Fails the exchange. A reset also ends a response without a length, but such a response is complete only if
         * the connection closed without an error (RFC 9112, section 8).
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(context);
        }

        private void fail(ChannelHandlerContext context) {
            Failure failure = isTooLong() ? Failure.TOO_LONG : Failure.BROKEN;
            reset(context);
            Exchange exchange = context.channel().attr(EXCHANGE).getAndSet(null);
            if (exchange != null) {
                exchange.end(Result.failed(failure));
            }
            context.close();
        }
    }

    private static final class Exchange {
        private final InetSocketAddress address;
        private final Reuse reuse;
        private final Consumer<Result> onResult;
        private @Nullable ScheduledFuture<?> timeout;
        private boolean ended;

        Exchange(InetSocketAddress address, Reuse reuse, Consumer<Result> onResult) {
            this.address = address;
            this.reuse = reuse;
            this.onResult = onResult;
        }

        synchronized void end(Result result) {
            if (ended) {
                return;
            }
            ended = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
            onResult.accept(result);
        }
    }
}
