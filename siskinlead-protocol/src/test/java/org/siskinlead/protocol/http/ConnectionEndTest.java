package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a server tells apart who closed a connection, and why. */
class ConnectionEndTest {
    private static final HttpLimits LIMITS = new HttpLimits(1_000, 2_000, 5_000, 300);
    private static final long MAX_UNDECODED_BYTES = 100;
    private static final long MAX_UNSENT_BYTES = 1_000_000;
    private static final long MAX_WAIT_S = 20;
    private static final int ROUNDS = 50;

    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ServerResources resources =
            ServerResources.of(RequestMemory.ofHeap(), MAX_UNDECODED_BYTES, MAX_UNSENT_BYTES, OpenConnections.of(100));
    private final BlockingQueue<ConnectionEnd> ends = new LinkedBlockingQueue<>();
    private final BlockingQueue<HttpExchange> requests = new LinkedBlockingQueue<>();
    private HttpServer server;

    @BeforeEach
    void start() throws InterruptedException {
        server = HttpServer.start(new InetSocketAddress("127.0.0.1", 0), network, () -> LIMITS, resources, exchange -> {
            exchange.onClosed(ends::add);
            requests.add(exchange);
        });
    }

    @AfterEach
    void stop() {
        server.close();
        network.shutdownGracefully();
    }

    // Guards against a connection that the peer closed being counted as closed by the server.
    @Test
    void namesThePeerThatLeaves() throws Exception {
        try (Socket socket = connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n")) {
            assertThat(requests.poll(MAX_WAIT_S, TimeUnit.SECONDS)).isNotNull();
            assertThat(socket.isConnected()).isTrue();
        }

        assertThat(ends.poll(MAX_WAIT_S, TimeUnit.SECONDS)).isEqualTo(ConnectionEnd.PEER);
        assertThat(count("closed.peer")).isEqualTo(1);
    }

    // Guards against a connection that a limit of the server closed being reported as one whose peer left.
    @Test
    void namesTheLimitThatClosesAConnection() throws Exception {
        try (Socket socket = connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(20))) {
            assertThat(socket.isConnected()).isTrue();
            assertThat(ends.poll(MAX_WAIT_S, TimeUnit.SECONDS)).isEqualTo(ConnectionEnd.UNDECODED_BYTES);
        }

        assertThat(resources.counters().limitCounts()).containsExactly("closed.undecoded_bytes", 1L);
    }

    // Guards against responses that many peers do not read, each within the limit of one, and that use up the memory
    // together.
    @Test
    void closesTheConnectionWithTheLongestUnreadResponse() throws Exception {
        try (Socket socket = connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n")) {
            HttpExchange exchange = requests.poll(MAX_WAIT_S, TimeUnit.SECONDS);
            assertThat(exchange).isNotNull();
            exchange.respond(200, "text/plain", new byte[20_000_000], Map.of());

            assertThat(ends.poll(MAX_WAIT_S, TimeUnit.SECONDS)).isEqualTo(ConnectionEnd.UNSENT_BYTES);
            assertThat(socket.isConnected()).isTrue();
        }
    }

    // Guards against timeouts that leave no trace.
    @Test
    void countsAHeaderSectionThatDoesNotArriveInTime() throws Exception {
        try (Socket socket = connect("GET / HTTP/1.1\r\n")) {
            assertWithMessage("bytes before the end")
                    .that(socket.getInputStream().read())
                    .isEqualTo(-1);
        }

        assertThat(resources.counters().limitCounts()).containsExactly("closed.header_timeout", 1L);
    }

    // Guards against handling a request, which may run, whose connection is about to be closed to make room.
    @Test
    void handlesNoRequestOfAConnectionThatIsClosedToMakeRoom() throws Exception {
        ServerResources one = ServerResources.of(
                RequestMemory.ofHeap(), MAX_UNDECODED_BYTES, MAX_UNSENT_BYTES, OpenConnections.of(2));
        AtomicInteger handled = new AtomicInteger();
        HttpServer small =
                HttpServer.start(new InetSocketAddress("127.0.0.1", 0), network, () -> LIMITS, one, exchange -> {
                    handled.incrementAndGet();
                    network.schedule(() -> exchange.respond(200, Map.of()), 1, TimeUnit.MILLISECONDS);
                });
        int answered = 0;
        for (int i = 0; i < ROUNDS; i++) {
            answered += isAnsweredWhileAnotherConnects(small);
        }

        assertThat(answered).isEqualTo(handled.get());
    }

    /** Sends a request while the network thread is busy, so that it is read together with further connections. */
    private int isAnsweredWhileAnotherConnects(HttpServer small) throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        try (Socket first = new Socket("127.0.0.1", small.port())) {
            awaitNetwork();
            network.execute(() -> awaitUninterrupted(arrived));
            try (Socket second = new Socket("127.0.0.1", small.port());
                    Socket third = new Socket("127.0.0.1", small.port())) {
                assertThat(second.isConnected() && third.isConnected()).isTrue();
                first.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                arrived.countDown();
                return first.getInputStream().read() >= 0 ? 1 : 0;
            } catch (SocketException e) {
                return 0;
            }
        } finally {
            awaitNetwork();
        }
    }

    private void awaitNetwork() throws Exception {
        for (int i = 0; i < 5; i++) {
            network.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
        }
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Socket connect(String text) throws Exception {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private long count(String name) {
        return resources.counters().values().getOrDefault(name, -1L);
    }
}
