package org.siskinlead.protocol.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** HTTP/1.1 server that hands each request to a handler as an {@link HttpExchange}. */
public final class HttpServer implements AutoCloseable {
    private static final int BACKLOG = 1_024;
    /**
     * Bytes that the operating system holds for a connection until they are read. Without a bound it takes several MB,
     * which would still be decoded after the peer has gone.
     */
    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    /** High-water mark of unsent bytes: above it {@link HttpExchange#isReaderSlow} is true, until half are left. */
    private static final int MAX_UNSENT_BYTES = 1_048_576;

    /** Time for which a draining server waits at least, for requests that are on their way. */
    private static final long DRAIN_LINGER_MS = 100;

    /** Longest wait, when the server drains, for the first request of a connection on which nothing has arrived. */
    private static final long FIRST_REQUEST_WAIT_MS = 1_000;

    /** Longest wait, when the server drains, for a moment in which no connection arrives. */
    private static final long MAX_QUIET_WAIT_MS = 300;

    private static final long DRAIN_POLL_INTERVAL_MS = 10;

    private final ListeningChannel channel;
    private final ConnectionCounts counts;

    private HttpServer(ListeningChannel channel, ConnectionCounts counts) {
        this.channel = channel;
        this.counts = counts;
    }

    /**
     * Starts a server.
     * @param address IP address and port to listen on
     * @param group network threads
     * @param limits limits on what a peer may send
     * @param handler called for each request, on a network thread
     * @return the server, which accepts connections
     * @throws InterruptedException if interrupted before the server listens
     */
    public static HttpServer start(
            InetSocketAddress address, EventLoopGroup group, HttpLimits limits, ExchangeHandler handler)
            throws InterruptedException {
        return start(address, group, () -> limits, ServerResources.ofHeap(), handler);
    }

    /**
     * Starts a server.
     * @param address IP address and port to listen on
     * @param group network threads
     * @param limits supplies the limits in force, which hold for the next request of each connection
     * @param resources what connections may use, which servers of a process may share
     * @param handler called for each request, on a network thread
     * @return the server, which accepts connections
     * @throws InterruptedException if interrupted before the server listens
     */
    public static HttpServer start(
            InetSocketAddress address,
            EventLoopGroup group,
            Supplier<HttpLimits> limits,
            ServerResources resources,
            ExchangeHandler handler)
            throws InterruptedException {
        ConnectionCounts counts = new ConnectionCounts();
        ListeningChannel channel = (ListeningChannel) new ServerBootstrap()
                .group(group)
                .channelFactory(ListeningChannel::new)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, FairReads.create())
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
                .childHandler(new PipelineInitializer(limits, resources, handler, counts))
                .bind(address)
                .sync()
                .channel();
        return new HttpServer(channel, counts);
    }

    /**
     * Gets the port on which the server listens.
     * @return port number; the one that the system chose if the address had port 0
     */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops accepting connections; open ones stay open. */
    @Override
    public void close() {
        channel.close();
    }

    /**
     * Connections of a server at the end of a drain, which are cut when the process exits.
     * @param busy connections on which a request has begun to arrive and is not yet answered
     * @param unused connections on which nothing has arrived
     * @param acceptedLast connections that arrived shortly before the server stopped accepting
     */
    public record Drained(int busy, int unused, int acceptedLast) {}

    /**
     * Stops accepting connections and waits until every request that has begun to arrive is answered, and the answer
     * handed to the operating system. The handler should refuse what arrives from now on.
     * @param maxMillis longest time to wait, in milliseconds
     * @param onDrained called once, on a network thread
     */
    public void drain(long maxMillis, Consumer<Drained> onDrained) {
        long startedAtNanos = System.nanoTime();
        long deadlineNanos = startedAtNanos + TimeUnit.MILLISECONDS.toNanos(maxMillis);
        long maxQuietWaitMillis = Math.min(MAX_QUIET_WAIT_MS, maxMillis / 2);
        channel.eventLoop()
                .execute(() -> channel.closeWhenQuiet(
                        maxQuietWaitMillis,
                        acceptedLast -> pollDrained(
                                acceptedLast > 0 ? System.nanoTime() : startedAtNanos,
                                deadlineNanos,
                                acceptedLast,
                                onDrained)));
    }

    private void pollDrained(long lingerFromNanos, long deadlineNanos, int acceptedLast, Consumer<Drained> onDrained) {
        long now = System.nanoTime();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(now - lingerFromNanos);
        Drained connections = new Drained(counts.busy.get(), counts.unused.get(), acceptedLast);
        boolean mayRequestArrive =
                elapsedMillis < DRAIN_LINGER_MS || (elapsedMillis < FIRST_REQUEST_WAIT_MS && connections.unused() > 0);
        if ((!mayRequestArrive && connections.busy() == 0) || now - deadlineNanos >= 0) {
            onDrained.accept(connections);
            return;
        }
        channel.eventLoop()
                .schedule(
                        () -> pollDrained(lingerFromNanos, deadlineNanos, acceptedLast, onDrained),
                        DRAIN_POLL_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
    }

    private static final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final Supplier<HttpLimits> limits;
        private final ServerResources resources;
        private final ExchangeHandler handler;
        private final ConnectionCounts counts;

        PipelineInitializer(
                Supplier<HttpLimits> limits,
                ServerResources resources,
                ExchangeHandler handler,
                ConnectionCounts counts) {
            this.limits = limits;
            this.resources = resources;
            this.handler = handler;
            this.counts = counts;
        }

        @Override
        protected void initChannel(SocketChannel socket) {
            ConnectionTimeouts timeouts = new ConnectionTimeouts(limits, counts, resources);
            RequestDecoder decoder = RequestDecoder.of(limits, resources.requests(), timeouts::isAnswering);
            InputGate gate = InputGate.of(decoder, resources.undecoded());
            socket.pipeline()
                    .addLast(UnsentBytes.of(limits, resources))
                    .addLast(timeouts.beforeCodec())
                    .addLast(gate)
                    .addLast(decoder)
                    .addLast(ResponseEncoder.of(decoder))
                    .addLast(timeouts.afterCodec(decoder))
                    .addLast(new RequestAssembler(limits, resources.requests()))
                    .addLast(new Dispatcher(handler, timeouts, gate, resources.counters()));
        }
    }

    /** Handles requests. The decoder passes on the next one of a connection only after the response to the last one. */
    private static final class Dispatcher extends SimpleChannelInboundHandler<ReceivedRequest> {
        private final ExchangeHandler handler;
        private final ConnectionTimeouts timeouts;
        private final InputGate gate;
        private final ServerCounters counters;
        private @Nullable HttpExchange current;

        Dispatcher(ExchangeHandler handler, ConnectionTimeouts timeouts, InputGate gate, ServerCounters counters) {
            this.handler = handler;
            this.timeouts = timeouts;
            this.gate = gate;
            this.counters = counters;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ReceivedRequest request) {
            if (!context.channel().isActive() || ServerResources.isEnding(context.channel())) {
                // The connection is being closed, or the codec passes on what it has of an incomplete request at its
                // end.
                request.body().release();
                return;
            }
            HttpExchange exchange = new HttpExchange(
                    context.channel(), request, () -> context.executor().execute(() -> onResponded(context)));
            current = exchange;
            if (!exchange.refuseUnread(counters)) {
                handler.handle(exchange);
            }
        }

        private void onResponded(ChannelHandlerContext context) {
            boolean wasRefused = current != null && current.isRefused();
            current = null;
            timeouts.onResponded(context, wasRefused);
            gate.onResponded();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (current != null) {
                current.connectionClosed(ServerResources.endOf(context.channel()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            ServerResources.close(
                    context.channel(), cause instanceof IOException ? ConnectionEnd.PEER : ConnectionEnd.FAILURE);
        }
    }
}
