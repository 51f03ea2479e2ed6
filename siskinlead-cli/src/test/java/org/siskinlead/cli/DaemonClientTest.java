package org.siskinlead.cli;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the client of the command line before an entry that does not behave. */
class DaemonClientTest {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final String HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        listener.close();
    }

    // Guards against an answer without end that uses up the memory of the command line.
    @Test
    @Timeout(60)
    void refusesALongAnswer() {
        serve(out -> {
            byte[] part = new byte[1_048_576];
            for (int i = 0; i < 40; i++) {
                out.write(part);
            }
        });

        CliException failure = assertThrows(CliException.class, () -> client().get("/v1/entries"));

        assertThat(failure.exitCode()).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(failure).hasCauseThat().hasMessageThat().contains("longer than 16777216 bytes");
    }

    // Guards against an answer that never ends and that the command line awaits for ever.
    @Test
    @Timeout(60)
    void givesUpAnAnswerThatDoesNotEnd() {
        serve(out -> {
            while (true) {
                out.write('x');
                out.flush();
                sleep();
            }
        });

        CliException failure = assertThrows(CliException.class, () -> client().get("/v1/entries"));

        assertThat(failure.exitCode()).isEqualTo(ExitCode.UNAVAILABLE);
    }

    // Guards against calling a change rejected whose answer does not end.
    @Test
    @Timeout(60)
    void doesNotKnowWhetherAChangeTookEffectWhoseAnswerDoesNotEnd() {
        serve(out -> {
            while (true) {
                out.write('x');
                out.flush();
                sleep();
            }
        });

        CliException failure =
                assertThrows(CliException.class, () -> client().post("/v1/operator/changes", new byte[0]));

        assertThat(failure.exitCode()).isEqualTo(ExitCode.UNKNOWN);
    }

    @Test
    void readsAnAnswer() {
        serve(out -> out.write("{}".getBytes(StandardCharsets.US_ASCII)));

        DaemonClient.Response response = client().get("/v1/entries");

        assertThat(response).isEqualTo(new DaemonClient.Response(200, "{}"));
    }

    // Guards against a change that is not tried at the next entry although the first one took no connection.
    @Test
    void triesTheNextEntryWhenOneTakesNoConnection() throws IOException {
        serve(out -> out.write("{}".getBytes(StandardCharsets.US_ASCII)));
        String closed;
        try (ServerSocket unused = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            closed = "127.0.0.1:" + unused.getLocalPort();
        }

        DaemonClient client = new DaemonClient(List.of(closed, entry()), "token", CALL_TIMEOUT);

        assertThat(client.post("/v1/operator/changes", new byte[0]).status()).isEqualTo(200);
    }

    private interface Body {
        void write(OutputStream out) throws IOException;
    }

    private void serve(Body body) {
        Thread server = new Thread(() -> {
            try (Socket socket = listener.accept()) {
                readHead(socket.getInputStream());
                socket.getOutputStream().write(HEAD.getBytes(StandardCharsets.US_ASCII));
                body.write(socket.getOutputStream());
            } catch (IOException e) {
                // The client has given up.
            }
        });
        server.setDaemon(true);
        server.start();
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the client closed the connection");
            }
            head.append((char) next);
        }
    }

    private static void sleep() {
        try {
            TimeUnit.MILLISECONDS.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String entry() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private DaemonClient client() {
        return new DaemonClient(List.of(entry()), "token", CALL_TIMEOUT);
    }
}
