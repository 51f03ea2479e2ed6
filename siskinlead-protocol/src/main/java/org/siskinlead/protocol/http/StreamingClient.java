package org.siskinlead.protocol.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.siskinlead.core.forwarding.HeaderField;

/**
 * Sends a request on a connection of its own and hands on the response as it arrives. A connection is never used twice,
 * so that no byte of an earlier response can be taken for a part of this one, and a reset before the request was
 * written proves that nothing was sent.
 */
public final class StreamingClient {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

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

    /** How an exchange ended without a complete response. */
    public enum Failure {
        /** The connection was refused; nothing was sent. */
        REFUSED,
        /** No connection in time; nothing was sent. */
        UNREACHABLE,
        /** The connection broke after bytes of the request may have left. */
        BROKEN,
        /** Bytes that are no HTTP response. */
        MALFORMED
    }

    /** Receives a response on a network thread. After {@code onEnd} or {@code onFailure} nothing follows. */
    public interface Listener {
        /**
         * Takes the status line and the header section.
         * @param status HTTP status
         * @param headers header fields in their order
         */
        void onHead(int status, List<HeaderField> headers);

        /**
         * Takes a part of the body.
         * @param chunk the bytes
         */
        void onBodyChunk(byte[] chunk);

        /** Takes note that the body is complete. */
        void onEnd();

        /**
         * Takes note that the response will not be completed.
         * @param failure why
         */
        void onFailure(Failure failure);
    }

    /** An exchange in flight. */
    public interface Call {
        /** Closes the connection; the listener hears nothing more. Safe to call twice and from any thread. */
        void cancel();
    }

    /**
     * Sends a request.
     * @param address IP number and port
     * @param connectTimeoutMillis longest wait for the connection, in milliseconds
     * @param method HTTP method
     * @param uri path and query
     * @param headers header fields; the length of the body is added
     * @param body body of the request
     * @param listener receives the response
     * @return a handle that cancels the exchange
     */
    public Call send(
            InetSocketAddress address,
            int connectTimeoutMillis,
            String method,
            String uri,
            List<HeaderField> headers,
            byte[] body,
            Listener listener) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body));
        headers.forEach(h -> request.headers().add(h.name(), h.value()));
        if (body.length > 0 || !"GET".equals(method)) {
            request.headers().setInt("content-length", body.length);
        }
        ResponseHandler handler = new ResponseHandler(listener);
        ChannelFuture connecting = connect(address, connectTimeoutMillis, handler);
        connecting.addListener(done -> {
            if (connecting.isSuccess()) {
                handler.write(connecting.channel(), request);
            } else {
                request.release();
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
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        socket.pipeline()
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
        private boolean interim;
        private boolean headReceived;
        private boolean connectionBroken;

        ResponseHandler(Listener listener) {
            this.listener = listener;
        }

        void cancel() {
            ended = true;
        }

        void write(Channel channel, DefaultFullHttpRequest request) {
            if (ended) {
                request.release();
                channel.close();
                return;
            }
            channel.writeAndFlush(request).addListener(written -> {
                if (!written.isSuccess()) {
                    fail(Failure.BROKEN);
                    channel.close();
                }
            });
        }

        void fail(Failure failure) {
            if (!ended) {
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
                fail(Failure.MALFORMED);
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                onResponse(response);
            }
            if (message instanceof HttpContent content && !interim) {
                onContent(context, content);
            }
        }

        private void onResponse(HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (interim) {
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
                listener.onBodyChunk(part);
            }
            if (content instanceof LastHttpContent && headReceived) {
                if (connectionBroken) {
                    fail(Failure.BROKEN);
                } else if (!ended) {
                    ended = true;
                    listener.onEnd();
                }
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(Failure.BROKEN);
        }

        /** A reset also ends a response without a length, which is complete only when its sender closed in order. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            connectionBroken = true;
            fail(cause instanceof io.netty.handler.codec.DecoderException ? Failure.MALFORMED : Failure.BROKEN);
            context.close();
        }
    }
}
