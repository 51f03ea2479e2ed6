package org.siskinlead.protocol.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a response that closes its connection arrives whole. */
class ClosingResponseTest {
    private static final HttpLimits LIMITS = new HttpLimits(1_000, 2_000, 30);
    private static final int BODY_BYTES = 1_000_000;
    /** Time in which the server has handed its response to the operating system. */
    private static final long RESPONSE_MS = 300;

    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer server;

    @BeforeEach
    void start() throws InterruptedException {
        server = HttpServer.start(new InetSocketAddress("127.0.0.1", 0), network, LIMITS, exchange -> {
            exchange.closeAfterResponse();
            exchange.respond(200, "text/plain", new byte[BODY_BYTES], Map.of());
        });
    }

    @AfterEach
    void stop() {
        server.close();
        network.shutdownGracefully();
    }

    // Guards against a reset that destroys the end of a response, because a further request arrives after the close
    @Test
    void reachesASlowReaderThatSendsAnotherRequest() throws Exception {
        try (Socket socket = connect()) {
            send(socket, REQUEST);
            TimeUnit.MILLISECONDS.sleep(RESPONSE_MS);
            send(socket, REQUEST);
            TimeUnit.MILLISECONDS.sleep(RESPONSE_MS);

            assertThat(socket.getInputStream().readAllBytes().length).isGreaterThan(BODY_BYTES);
        }
    }

    // Guards against keeping a connection open whose peer does not close it
    @Test
    void isFollowedByTheEndOfTheConnection() throws Exception {
        try (Socket socket = connect()) {
            send(socket, REQUEST);

            assertThat(socket.getInputStream().readAllBytes().length).isGreaterThan(BODY_BYTES);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(16_384);
        socket.connect(new InetSocketAddress("127.0.0.1", server.port()));
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }
}
