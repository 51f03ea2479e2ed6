package org.siskinlead.protocol.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.forwarding.HeaderField;

/**
 * Sends each request on a new connection and passes the response on as it arrives. Connections are never reused, so
 * that no byte of an earlier response can be taken for a part of this one, and a reset before the request was written
 * proves that nothing was sent.
 */
public final class StreamingClient {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;
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

    private final EventLoopGroup group;

    private StreamingClient(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Creates a client.
     * @param group network threads
     * @return the client
     */
    public static StreamingClient of(EventLoopGroup group) {
        return new StreamingClient(group);
    }

    /** Reason why an exchange ended without a complete response. */
    public enum Failure {
        /** The connection was refused; nothing was sent. */
        REFUSED,
        /** No connection for another reason, such as the timeout; nothing was sent. */
        UNREACHABLE,
        /** The connection closed or failed after bytes of the request may have been sent. */
        BROKEN,
        /** The received bytes are not a valid HTTP response. */
        MALFORMED
    }

    /** Receives a response, on a network thread. No call follows {@code onEnd} or {@code onFailure}. */
    public interface Listener {
        /**
         * Receives the status and the header section.
         * @param status HTTP status
         * @param headers header fields in the order received
         */
        void onHead(int status, List<HeaderField> headers);

        /**
         * Receives the next bytes of the body, at most once for each read from the connection.
         * @param chunk at least one byte, without transfer coding
         */
        void onBodyChunk(byte[] chunk);

        /** Called when the body is complete. */
        void onEnd();

        /**
         * Called before the failure when the bytes received are not a valid HTTP response.
         * @param defect what is wrong
         * @param detail describes it, in printable characters
         */
        default void onMalformed(MalformedResponseException.Defect defect, String detail) {}

        /**
         * Called when the response will not be completed.
         * @param failure why it will not
         */
        void onFailure(Failure failure);
    }

    /** Exchange in progress. */
    public interface Call {
        /** Closes the connection; the listener receives no further calls. Idempotent; may be called from any thread. */
        void cancel();
    }

    /**
     * Sends a request.
     * @param address IP address and port
     * @param connectTimeoutMillis longest time to establish the connection, in milliseconds
     * @param method HTTP method
     * @param uri path and query
     * @param headers header fields; Content-Length is added, except to a GET without a body
     * @param body body of the request
     * @param listener receives the response
     * @return the exchange, which can be cancelled
     */
    public Call send(
            InetSocketAddress address,
            int connectTimeoutMillis,
            String method,
            String uri,
            List<HeaderField> headers,
            byte[] body,
            Listener listener) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri);
        headers.forEach(h -> request.headers().add(h.name(), h.value()));
        if (body.length > 0 || !"GET".equals(method)) {
            request.headers().setInt("content-length", body.length);
        }
        ResponseHandler handler = new ResponseHandler(listener);
        ChannelFuture connecting = connect(address, connectTimeoutMillis, handler);
        connecting.addListener(done -> {
            if (connecting.isSuccess()) {
                handler.write(connecting.channel(), request, body);
            } else {
                handler.fail(isRefusal(connecting.cause()) ? Failure.REFUSED : Failure.UNREACHABLE);
            }
        });
        return () -> {
            handler.cancel();
            connecting.channel().close();
        };
    }

    private ChannelFuture connect(InetSocketAddress address, int timeoutMillis, ResponseHandler handler) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        socket.pipeline()
                                .addLast(new ResponseCheck(MAX_HEADER_BYTES))
                                .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                                .addLast(handler);
                    }
                })
                .connect(address);
    }

    private static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof io.netty.channel.ConnectTimeoutException);
    }

    private static final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final Listener listener;
        private volatile boolean ended;
        private @Nullable RequestWriter writer;
        private final List<byte[]> bodyOfRead = new ArrayList<>();
        private long bodyBytes;
        private int pieces;
        private int interimResponses;
        private boolean interim;
        private boolean headReceived;
        private boolean connectionBroken;

        ResponseHandler(Listener listener) {
            this.listener = listener;
        }

        void cancel() {
            ended = true;
        }

        void write(Channel channel, HttpRequest request, byte[] body) {
            if (ended) {
                channel.close();
                return;
            }
            RequestWriter started = new RequestWriter(request, body, written -> {
                if (!written.isSuccess()) {
                    fail(Failure.BROKEN);
                    channel.close();
                }
            });
            writer = started;
            started.write(channel);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            RequestWriter current = writer;
            if (current != null && !ended) {
                current.write(context.channel());
            }
            context.fireChannelWritabilityChanged();
        }

        void fail(Failure failure) {
            if (!ended) {
                passBodyOn();
                ended = true;
                listener.onFailure(failure);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (ended) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                failAsMalformed(message.decoderResult().cause());
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                onResponse(response);
                boolean switchesProtocol = response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
                if (interimResponses > MAX_INTERIM_RESPONSES || switchesProtocol) {
                    fail(Failure.MALFORMED);
                    context.close();
                    return;
                }
            }
            if (message instanceof HttpContent content && !interim) {
                onContent(context, content);
            }
        }

        private void onResponse(HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (interim) {
                interimResponses++;
                return;
            }
            headReceived = true;
            List<HeaderField> headers = new ArrayList<>();
            response.headers().forEach(h -> headers.add(new HeaderField(h.getKey(), h.getValue())));
            listener.onHead(response.status().code(), headers);
        }

        private void onContent(ChannelHandlerContext context, HttpContent content) {
            ByteBuf bytes = content.content();
            if (bytes.isReadable()) {
                byte[] part = new byte[bytes.readableBytes()];
                bytes.readBytes(part);
                bodyOfRead.add(part);
                bodyBytes += part.length;
                pieces++;
            }
            if (pieces > MAX_TINY_PIECES && bodyBytes < (long) MIN_AVERAGE_PIECE_BYTES * pieces) {
                fail(Failure.MALFORMED);
                context.close();
                return;
            }
            if (content instanceof LastHttpContent && headReceived) {
                if (connectionBroken) {
                    fail(Failure.BROKEN);
                } else if (!ended) {
                    passBodyOn();
                    ended = true;
                    listener.onEnd();
                }
                context.close();
            }
        }

        /** Passes on what one read has brought. A read may hold thousands of chunks, too many to pass on one by one. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!ended) {
                passBodyOn();
            }
            context.fireChannelReadComplete();
        }

        private void passBodyOn() {
            if (bodyOfRead.isEmpty()) {
                return;
            }
            byte[] body = bodyOfRead.size() == 1
                    ? bodyOfRead.get(0)
                    : ByteBufUtil.getBytes(Unpooled.wrappedBuffer(bodyOfRead.toArray(new byte[0][])));
            bodyOfRead.clear();
            listener.onBodyChunk(body);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(Failure.BROKEN);
        }

        /**
         * Fails the exchange. A reset also ends a response without a length, but such a response is complete only if
         * the connection closed without an error (RFC 9112, section 8).
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            connectionBroken = true;
            if (cause instanceof DecoderException) {
                failAsMalformed(cause);
            } else {
                fail(Failure.BROKEN);
            }
            context.close();
        }

        private void failAsMalformed(Throwable cause) {
            if (ended) {
                return;
            }
            if (cause instanceof MalformedResponseException malformed) {
                listener.onMalformed(malformed.defect(), String.valueOf(malformed.getMessage()));
            } else {
                listener.onMalformed(
                        MalformedResponseException.Defect.OTHER,
                        cause.getClass().getSimpleName());
            }
            fail(Failure.MALFORMED);
        }
    }
}
