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
import org.junit.jupiter.api.Test;

/** Tests a server whose peers send more, or read less, than it holds for them. */
class InputGateTest {
    private static final int READ_TIMEOUT_MS = 15_000;
    private static final long MAX_WAIT_NANOS = 30_000_000_000L;
    private static final int PIPELINED = 2_000;

    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ServerResources resources = ServerResources.ofHeap();

    @AfterEach
    void stop() {
        network.shutdownGracefully();
    }

    // Guards against requests that are lost or stay unread when reading stops during an answer.
    @Test
    void answersAllPipelinedRequestsAfterReadingHadStopped() throws Exception {
        CountDownLatch allSent = new CountDownLatch(1);
        HttpServer server = start(
                60_000,
                exchange -> new Thread(() -> {
                            awaitUninterrupted(allSent);
                            respond(exchange, "[" + exchange.path() + "]");
                        })
                        .start());
        try (Socket socket = connect(server)) {
            StringBuilder requests = new StringBuilder();
            for (int i = 1; i <= PIPELINED; i++) {
                requests.append("GET /").append(i).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
            }
            send(socket, requests.toString());
            allSent.countDown();

            String responses = readUntil(socket, "[/" + PIPELINED + "]");

            assertThat(responses.split("HTTP/1.1 200", -1)).hasLength(PIPELINED + 1);
        }
    }

    // Guards against a caller's disconnection that is not seen because its connection is not read during an answer.
    @Test
    void noticesThatThePeerDisconnectsDuringAnAnswer() throws Exception {
        CountDownLatch handled = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        HttpServer server = start(60_000, exchange -> {
            exchange.onClosed(end -> closed.countDown());
            handled.countDown();
        });
        try (Socket socket = connect(server)) {
            send(socket, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
            assertThat(handled.await(MAX_WAIT_NANOS, TimeUnit.NANOSECONDS)).isTrue();
        }

        assertThat(closed.await(MAX_WAIT_NANOS, TimeUnit.NANOSECONDS)).isTrue();
    }

    // Guards against a body after a response to HEAD, which the caller would take for the next response.
    @Test
    void answersHeadWithoutABody() throws Exception {
        HttpServer server = start(60_000, exchange -> respond(exchange, "[" + exchange.path() + "]"));
        try (Socket socket = connect(server)) {
            send(socket, "HEAD /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");

            String responses = readUntil(socket, "[/2]");

            assertThat(responses).doesNotContain("[/1]");
            assertThat(responses.split("content-length: 4", -1)).hasLength(3);
        }
    }

    // Guards against taking chunks that another thread has only handed over for ones that the peer does not read.
    @Test
    void keepsAConnectionWhoseStreamIsWrittenFasterThanItIsSent() throws Exception {
        HttpServer server = start(
                60_000,
                exchange -> new Thread(() -> {
                            exchange.startStream("text/plain", Map.of());
                            for (int i = 0; i < PIPELINED; i++) {
                                exchange.writeChunk(new byte[] {'x'});
                            }
                            exchange.writeChunk(new byte[] {']'});
                            exchange.endStream();
                        })
                        .start());
        try (Socket socket = connect(server)) {
            send(socket, "GET /1 HTTP/1.1\r\n\r\n");

            assertThat(readUntil(socket, "]")).endsWith("]");
            assertThat(resources.counters().limitCounts()).isEmpty();
        }
    }

    // Guards against responses that no peer reads and that are held for ever.
    @Test
    void closesAConnectionWhosePeerReadsNothing() throws Exception {
        HttpServer server = start(500, exchange -> respond(exchange, "x".repeat(8_000_000)));
        try (Socket socket = connect(server)) {
            send(socket, "GET /1 HTTP/1.1\r\n\r\n");
            long deadlineNanos = System.nanoTime() + MAX_WAIT_NANOS;
            while (resources.counters().limitCounts().isEmpty() && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }

            assertThat(resources.counters().limitCounts()).containsExactly("closed.unread_response", 1L);
        }
    }

    private HttpServer start(long idleMillis, ExchangeHandler handler) throws Exception {
        HttpLimits limits = new HttpLimits(1_000, 2_000, idleMillis, 60_000);
        return HttpServer.start(new InetSocketAddress("127.0.0.1", 0), network, () -> limits, resources, handler);
    }

    private static void respond(HttpExchange exchange, String text) {
        exchange.respond(200, "text/plain", text.getBytes(StandardCharsets.UTF_8), Map.of());
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Socket connect(HttpServer server) throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            text.append((char) next);
            if (next == ']' && text.toString().endsWith(end)) {
                break;
            }
        }
        return text.toString();
    }
}
