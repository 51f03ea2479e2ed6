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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {
    private static final HttpLimits LIMITS = new HttpLimits(1_000, 2_000, 30);

    private final EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer server;

    @BeforeEach
    void start() throws InterruptedException {
        server = HttpServer.start(new InetSocketAddress("127.0.0.1", 0), network, LIMITS, HttpServerTest::echo);
    }

    @AfterEach
    void stop() {
        server.close();
        network.shutdownGracefully();
    }

    @Test
    void answersASecondRequestOnTheSameConnection() throws IOException {
        try (Socket socket = connect()) {
            send(socket, get("/first"));
            String first = readUntil(socket, "[/first]");
            send(socket, get("/second"));
            String second = readUntil(socket, "[/second]");

            assertThat(first).startsWith("HTTP/1.1 200");
            assertThat(second).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void answersPipelinedRequestsInOrder() throws IOException {
        try (Socket socket = connect()) {
            send(socket, get("/a") + get("/b") + get("/c"));

            String responses = readUntil(socket, "[/c]");

            assertThat(responses.indexOf("[/a]")).isLessThan(responses.indexOf("[/b]"));
            assertThat(responses.indexOf("[/b]")).isLessThan(responses.indexOf("[/c]"));
        }
    }

    @Test
    void refusesBodiesAndHeadersThatAreTooLarge() throws IOException {
        try (Socket largeBody = connect();
                Socket longHeader = connect()) {
            send(largeBody, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
            send(longHeader, "GET /x HTTP/1.1\r\nHost: h\r\nX-Long: " + "y".repeat(5_000) + "\r\n\r\n");

            assertThat(readHead(largeBody)).startsWith("HTTP/1.1 413");
            assertThat(readHead(longHeader)).startsWith("HTTP/1.1 431");
        }
        assertStillServes();
    }

    @Test
    void keepsServingAfterGarbageAndIncompleteRequests() throws IOException {
        try (Socket garbage = connect()) {
            send(garbage, "\u0000\u0001\u0002 not http at all\r\n\r\n");
            assertThat(readHead(garbage)).startsWith("HTTP/1.1 400");
        }
        try (Socket incomplete = connect()) {
            send(incomplete, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\nonly this");
        }
        assertStillServes();
    }

    private void assertStillServes() throws IOException {
        try (Socket socket = connect()) {
            send(socket, get("/after"));
            assertThat(readUntil(socket, "[/after]")).startsWith("HTTP/1.1 200");
        }
    }

    private static void echo(HttpExchange exchange) {
        byte[] body = ("[" + exchange.path() + "]").getBytes(StandardCharsets.UTF_8);
        exchange.respond(200, "text/plain", body, Map.of());
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String readUntil(Socket socket, String terminator) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (text.indexOf(terminator) < 0) {
            int next = in.read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Reads to the end of the header section, or until the server closes the connection. */
    private static String readHead(Socket socket) throws IOException {
        return readUntil(socket, "\r\n\r\n");
    }
}
