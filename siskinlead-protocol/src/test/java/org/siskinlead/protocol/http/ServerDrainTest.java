package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a server that drains answers each request on a connection that it has accepted. */
class ServerDrainTest {
    private static final HttpLimits LIMITS = new HttpLimits(1_000, 2_000, 2_000);
    private static final int CALLERS = 16;
    private static final int STOPS = 10;
    private static final long LOAD_MS = 50;
    private static final long MAX_DRAIN_MS = 3_000;
    /** Pause between the pieces of a body; longer than the server lingers after it has stopped accepting. */
    private static final long PIECE_INTERVAL_MS = 150;

    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();

    @AfterEach
    void stop() {
        network.shutdownGracefully();
    }

    // Guards against resetting connections that arrive while the listening socket is closed
    @Test
    void answersCallersThatConnectAgainAndAgain() throws Exception {
        for (int i = 0; i < STOPS; i++) {
            drainUnderLoad(ServerDrainTest::sendWhole);
        }

        assertThat(cut.get()).isEqualTo(0);
        assertThat(answered.get()).isGreaterThan(STOPS * CALLERS);
    }

    // Guards against ending the drain while the body of a request on a new connection is on its way
    @Test
    void answersBodiesThatArriveInPieces() throws Exception {
        for (int i = 0; i < STOPS / 2; i++) {
            drainUnderLoad(ServerDrainTest::sendInPieces);
        }

        assertThat(cut.get()).isEqualTo(0);
        assertThat(answered.get()).isAtLeast(STOPS / 2 * CALLERS);
    }

    /** Sends a request. */
    private interface Sender {
        void send(Socket socket) throws Exception;
    }

    private static void sendWhole(Socket socket) throws IOException {
        send(socket, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    private static void sendInPieces(Socket socket) throws Exception {
        send(socket, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (String piece : List.of("1\r\na\r\n", "1\r\nb\r\n", "0\r\n\r\n")) {
            TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MS);
            send(socket, piece);
        }
    }

    /** Stops a server while callers send requests on new connections. */
    private void drainUnderLoad(Sender sender) throws Exception {
        HttpServer server = HttpServer.start(new InetSocketAddress("127.0.0.1", 0), network, LIMITS, exchange -> {
            exchange.closeAfterResponse();
            exchange.respond(200, "text/plain", "served".getBytes(StandardCharsets.UTF_8), Map.of());
        });
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Thread caller = new Thread(() -> callUntilRefused(server.port(), sender), "caller-" + i);
            caller.start();
            callers.add(caller);
        }
        TimeUnit.MILLISECONDS.sleep(LOAD_MS);
        CountDownLatch drained = new CountDownLatch(1);
        server.drain(MAX_DRAIN_MS, connections -> {
            cut.addAndGet(connections.busy());
            drained.countDown();
        });
        assertThat(drained.await(2 * MAX_DRAIN_MS, TimeUnit.MILLISECONDS)).isTrue();
        for (Thread caller : callers) {
            caller.join();
        }
    }

    private void callUntilRefused(int port, Sender sender) {
        boolean refused = false;
        while (!refused) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                sender.send(socket);
                String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                (response.endsWith("served") ? answered : cut).incrementAndGet();
            } catch (ConnectException e) {
                refused = true;
            } catch (Exception e) {
                cut.incrementAndGet();
            }
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }
}
