package org.siskinlead.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a daemon that receives SIGTERM while it starts. */
class TerminationDuringStartTest {
    private static final int STARTS = 5;
    private static final int POLL_INTERVAL_MS = 2;
    private static final int READ_TIMEOUT_MS = 15_000;
    private static final String REQUEST = "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n";

    private Process daemon;

    @AfterEach
    void stop() {
        daemon.destroyForcibly();
    }

    // Guards against a signal that arrives after a request was read and before it is handled
    @Test
    void answersRequestsWhenTerminatedAsSoonAsItListens() throws Exception {
        for (int i = 0; i < STARTS; i++) {
            int port = freePort();
            daemon = start(port);
            try (Socket socket = connectWhenListening(port)) {
                socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
                daemon.destroy();

                byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 ".length());
                assertThat(new String(start, StandardCharsets.ISO_8859_1)).isEqualTo("HTTP/1.1 ");
            }
            daemon.destroyForcibly();
        }
    }

    private static Process start(int port) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "org.siskinlead.daemon.Main",
                "--vm=a",
                "--data-centre=z",
                "--entry-address=127.0.0.1:" + port,
                "--peer-address=127.0.0.1:" + freePort(),
                "--operator-token-sha256=" + "0".repeat(64),
                "--platform=127.0.0.1:" + freePort(),
                "--peer-key=peer-key-for-this-test");
        return builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private Socket connectWhenListening(int port) throws Exception {
        while (true) {
            assertThat(daemon.isAlive()).isTrue();
            try {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(READ_TIMEOUT_MS);
                return socket;
            } catch (ConnectException e) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
        }
    }
}
