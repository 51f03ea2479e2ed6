package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests timeouts and drains while requests arrive in part. */
class ConnectionTimeoutsTest {
    private static final long TIMEOUT_MS = 2_000;
    /** Time in which a drain ends that awaits nothing. */
    private static final long IDLE_DRAIN_MS = 600;

    private static final HttpLimits LIMITS = new HttpLimits(1_000, 2_000, TIMEOUT_MS, TIMEOUT_MS);
    private static final long MAX_DRAIN_MS = 5_000;
    private static final String FIRST = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String SECOND = "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CountDownLatch drained = new CountDownLatch(1);
    private HttpServer server;
    private long firstTakesMillis;

    @BeforeEach
    void start() throws InterruptedException {
        server = HttpServer.start(new InetSocketAddress("127.0.0.1", 0), network, LIMITS, exchange -> {
            byte[] body = exchange.path().getBytes(StandardCharsets.UTF_8);
            long millis = exchange.path().equals("/first") ? firstTakesMillis : 0;
            network.schedule(() -> exchange.respond(200, "text/plain", body, Map.of()), millis, TimeUnit.MILLISECONDS);
        });
    }

    @AfterEach
    void stop() {
        server.close();
        network.shutdownGracefully();
    }

    // Guards against ending a drain while the header section of a pipelined request is arriving
    @Test
    void drainsAfterAPipelinedRequestWhoseHeaderArrivedInPart() throws Exception {
        assertThatDrainAwaitsSecondRequest(12);
    }

    // Guards against ending a drain while the body of a pipelined request is arriving
    @Test
    void drainsAfterAPipelinedRequestWhoseBodyArrivedInPart() throws Exception {
        assertThatDrainAwaitsSecondRequest(SECOND.length() - 2);
    }

    // Guards against a drain that waits for a request of which nothing has arrived
    @Test
    void drainsWhileAConnectionIsIdleBetweenRequests() throws Exception {
        try (Socket socket = connect()) {
            send(socket, FIRST + SECOND);
            readUntil(socket, "/second");

            server.drain(MAX_DRAIN_MS, connections -> drained.countDown());

            assertThat(drained.await(MAX_DRAIN_MS / 2, TimeUnit.MILLISECONDS)).isTrue();
        }
    }

    // Guards against closing a connection whose request is running, because the next one stalls
    @Test
    void answersARequestWhoseSuccessorStalls() throws Exception {
        firstTakesMillis = TIMEOUT_MS * 3 / 2;
        try (Socket socket = connect()) {
            send(socket, FIRST + SECOND.substring(0, SECOND.length() - 2));

            assertThat(readUntil(socket, "/first")).endsWith("/first");
            assertThat(readUntil(socket, "never")).isEmpty();
        }
    }

    // Guards against keeping a connection open for a pipelined header section that stalls
    @Test
    void closesAConnectionWhosePipelinedHeaderStalls() throws Exception {
        try (Socket socket = connect()) {
            send(socket, FIRST + SECOND.substring(0, 12));

            assertThat(readUntil(socket, "never")).endsWith("/first");
        }
    }

    // Guards against connections that never time out, and hold up a drain, after a body that was too large
    @Test
    void closesAnIdleConnectionWhoseBodyWasTooLarge() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + "x".repeat(3_000));
            assertThat(readUntil(socket, "413")).contains("413");
            send(socket, FIRST);

            assertThat(readUntil(socket, "/first")).endsWith("/first");
            assertThat(readUntil(socket, "never")).isEmpty();
        }
    }

    private void assertThatDrainAwaitsSecondRequest(int bytesBehindFirst) throws Exception {
        try (Socket socket = connect()) {
            send(socket, FIRST + SECOND.substring(0, bytesBehindFirst));
            assertThat(readUntil(socket, "/first")).endsWith("/first");

            server.drain(MAX_DRAIN_MS, connections -> drained.countDown());
            boolean drainedEarly = drained.await(IDLE_DRAIN_MS, TimeUnit.MILLISECONDS);
            send(socket, SECOND.substring(bytesBehindFirst));

            assertThat(drainedEarly).isFalse();
            assertThat(readUntil(socket, "/second")).endsWith("/second");
            assertThat(drained.await(MAX_DRAIN_MS, TimeUnit.MILLISECONDS)).isTrue();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads up to a text, or to the end of the connection. */
    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        int next = in.read();
        while (next >= 0) {
            text.append((char) next);
            next = text.indexOf(end) < 0 ? in.read() : -1;
        }
        return text.toString();
    }
}
