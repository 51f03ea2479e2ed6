package org.siskinlead.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.core.peer.Peers;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.daemon.LineRate;
import org.siskinlead.daemon.loop.DecisionLoop;
import org.siskinlead.protocol.http.Addresses;
import org.siskinlead.protocol.http.ConnectionBytes;
import org.siskinlead.protocol.http.OpenConnections;
import org.siskinlead.protocol.json.ProtocolException;
import org.siskinlead.protocol.peer.PeerCodec;
import org.siskinlead.protocol.peer.PeerFrame;

/**
 * Receives messages from other daemons and sends messages over one outgoing connection to each. Messages are dropped
 * while the connection is not writable, when an attempt to open it fails, and beyond a fixed number until it is open.
 */
public final class PeerLinks implements Peers {
    private static final Logger LOG = LogManager.getLogger(PeerLinks.class);
    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_PENDING_MESSAGES = 512;
    private static final long RECONNECT_DELAY_MS = 100;
    /** Connections whose peer has not sent the peer key yet: more than a fleet has daemons, which may all connect at once. */
    private static final int MAX_UNKNOWN_CONNECTIONS = 512;
    /** Part of the sockets of the process that such connections may use. */
    private static final int UNKNOWN_SOCKETS_DIVISOR = 4;

    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 16_384;
    /** Bytes of incomplete frames of all connections; some frames of the largest size, at twice their size in buffers. */
    private static final long MAX_INCOMPLETE_BYTES = 4L * PeerCodec.MAX_FRAME_BYTES;
    /** Lines on refused connections in any second; others are only counted. */
    private static final int MAX_LOG_LINES_PER_SECOND = 5;

    private final EventLoopGroup eventLoopGroup;
    private final DecisionLoop loop;
    private final HybridClock clock;
    private final String selfAddress;
    private final String peerKey;
    private final Map<String, Link> links = new HashMap<>();
    private Consumer<PeerMessage> onMessage = m -> {};
    private Consumer<String> onConnectionRefused = a -> {};
    private final OpenConnections unknown;
    private final ConnectionBytes incomplete = ConnectionBytes.of(MAX_INCOMPLETE_BYTES, this::closeRefused);
    private final AtomicLong refused = new AtomicLong();
    private final LineRate refusalLines = LineRate.perSecond(MAX_LOG_LINES_PER_SECOND);
    private long bytesSent;
    private long messagesSent;

    private PeerLinks(
            EventLoopGroup eventLoopGroup,
            DecisionLoop loop,
            HybridClock clock,
            String selfAddress,
            String peerKey,
            int maxSockets) {
        this.eventLoopGroup = eventLoopGroup;
        this.loop = loop;
        this.clock = clock;
        this.selfAddress = selfAddress;
        this.peerKey = peerKey;
        this.unknown = OpenConnections.of(Math.min(MAX_UNKNOWN_CONNECTIONS, maxSockets / UNKNOWN_SOCKETS_DIVISOR));
    }

    /**
     * Creates links without connections.
     * @param eventLoopGroup network threads
     * @param loop decision thread
     * @param clock clock whose time is sent with each message and advanced by received ones
     * @param selfAddress peer address of this daemon
     * @param peerKey key shared by all daemons, sent in each frame and required in received ones
     * @param maxSockets sockets that the process may have open
     * @return the links
     */
    public static PeerLinks of(
            EventLoopGroup eventLoopGroup,
            DecisionLoop loop,
            HybridClock clock,
            String selfAddress,
            String peerKey,
            int maxSockets) {
        return new PeerLinks(eventLoopGroup, loop, clock, selfAddress, peerKey, maxSockets);
    }

    /**
     * Starts to accept connections.
     * @param messageListener receives messages on the decision thread
     * @param connectionRefusedListener receives the addresses that refuse connections, on the decision thread
     * @return the listening channel
     * @throws InterruptedException when interrupted before it listens
     */
    public Channel listen(Consumer<PeerMessage> messageListener, Consumer<String> connectionRefusedListener)
            throws InterruptedException {
        onMessage = messageListener;
        onConnectionRefused = connectionRefusedListener;
        return new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .childHandler(framePipeline(new UnknownPeerGuard()))
                .bind(Addresses.parse(selfAddress))
                .sync()
                .channel();
    }

    /**
     * Counts the messages for other daemons, dropped ones included; call on the decision thread only.
     * @return messages since the start
     */
    public long messagesSent() {
        return messagesSent;
    }

    /**
     * Counts the bytes of the messages for other daemons, dropped ones included; call on the decision thread only.
     * @return bytes since the start, length prefixes included
     */
    public long bytesSent() {
        return bytesSent;
    }

    /**
     * Counts the connections that were closed because of an invalid frame or a wrong key, or to admit others.
     * @return connections since the start
     */
    public long refusedCount() {
        return refused.get();
    }

    @Override
    public void send(String address, PeerMessage message) {
        if (address.equals(selfAddress)) {
            loop.after(0, () -> onMessage.accept(message));
            return;
        }
        byte[] bytes = PeerCodec.encode(new PeerFrame(peerKey, clock.tick(), message));
        messagesSent++;
        bytesSent += bytes.length + LENGTH_BYTES;
        links.computeIfAbsent(address, Link::new).send(bytes);
    }

    private ChannelInitializer<SocketChannel> framePipeline(ChannelHandler first) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel socket) {
                socket.pipeline()
                        .addLast(first)
                        .addLast(new LengthFieldBasedFrameDecoder(
                                PeerCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new FrameHandler());
            }
        };
    }

    private boolean isPeerKey(String key) {
        return MessageDigest.isEqual(key.getBytes(StandardCharsets.UTF_8), peerKey.getBytes(StandardCharsets.UTF_8));
    }

    private void refuse(ChannelHandlerContext context, String reason) {
        refused.incrementAndGet();
        if (refusalLines.tryAcquire()) {
            LOG.warn("closing peer connection from {}: {}", context.channel().remoteAddress(), reason);
        }
        context.close();
    }

    private void closeRefused(Channel connection) {
        refused.incrementAndGet();
        connection.close();
    }

    /** Bounds the connections, and their bytes, of peers that have not proven yet that they are daemons. */
    @ChannelHandler.Sharable
    private final class UnknownPeerGuard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            for (Channel excess : unknown.admit(context.channel())) {
                excess.eventLoop().execute(() -> closeRefused(excess));
            }
            context.fireChannelActive();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                incomplete.add(context.channel(), bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }

        /** Runs when the connection is closed, or when its first frame has shown that the peer is a daemon. */
        @Override
        public void handlerRemoved(ChannelHandlerContext context) {
            unknown.remove(context.channel());
            incomplete.release(context.channel());
        }
    }

    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            if (!context.channel().isActive()) {
                return;
            }
            byte[] frameBytes = new byte[bytes.readableBytes()];
            bytes.readBytes(frameBytes);
            // Only a daemon may have its frame decoded: its objects can take many times its bytes.
            if (!isPeerKey(PeerCodec.readKey(frameBytes))) {
                refuse(context, "wrong peer key");
                return;
            }
            PeerFrame frame = PeerCodec.decode(frameBytes);
            if (context.pipeline().get(UnknownPeerGuard.class) != null) {
                context.pipeline().remove(UnknownPeerGuard.class);
            }
            loop.publish(() -> {
                clock.observe(frame.time());
                onMessage.accept(frame.message());
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof ProtocolException || cause instanceof DecoderException) {
                refuse(context, "invalid frame");
            } else {
                context.close();
            }
        }
    }

    /** Outgoing connection to one daemon; used on the decision thread only. */
    private final class Link {
        private final String address;
        private final List<byte[]> pendingMessages = new ArrayList<>();
        private @Nullable Channel channel;
        private boolean connecting;
        private long reconnectAtMillis = Long.MIN_VALUE;

        Link(String address) {
            this.address = address;
        }

        void send(byte[] bytes) {
            Channel open = channel;
            if (open != null && open.isActive()) {
                if (open.isWritable()) {
                    open.writeAndFlush(Unpooled.wrappedBuffer(bytes), open.voidPromise());
                }
                return;
            }
            if (pendingMessages.size() < MAX_PENDING_MESSAGES) {
                pendingMessages.add(bytes);
            }
            if (!connecting && loop.nowMillis() >= reconnectAtMillis) {
                connect();
            }
        }

        private void connect() {
            connecting = true;
            InetSocketAddress remote = Addresses.parse(address);
            new Bootstrap()
                    .group(eventLoopGroup)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .handler(framePipeline(new ChannelInboundHandlerAdapter()))
                    .connect(remote)
                    .addListener(done -> loop.publish(() -> onConnected((ChannelFuture) done)));
        }

        private void onConnected(ChannelFuture connected) {
            connecting = false;
            if (connected.isSuccess()) {
                channel = connected.channel();
                List<byte[]> queued = new ArrayList<>(pendingMessages);
                pendingMessages.clear();
                queued.forEach(this::send);
                return;
            }
            pendingMessages.clear();
            reconnectAtMillis = loop.nowMillis() + RECONNECT_DELAY_MS;
            Throwable cause = connected.cause();
            if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
                onConnectionRefused.accept(address);
            }
        }
    }
}
