package org.siskinlead.standins;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that {@code bin/local-fleet} reports a port that another process uses. Without this check the fleet fails later
 * and gives no reason.
 */
class LocalFleetTest {
    private static final int PORT_TAKEN_EXIT_CODE = 3;

    @TempDir
    private Path dir;

    @Test
    void namesThePortThatIsTaken() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Process process = startPortCheck(occupied.getLocalPort());
            String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);

            assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isEqualTo(PORT_TAKEN_EXIT_CODE);
            assertThat(errorOutput).contains("port " + occupied.getLocalPort() + " is taken");
        }
    }

    private Process startPortCheck(int basePort) throws IOException {
        Path root = Path.of("").toAbsolutePath().getParent();
        return new ProcessBuilder(
                        "bash",
                        root.resolve("bin/local-fleet").toString(),
                        "check-ports",
                        "--dir",
                        dir.toString(),
                        "--base-port",
                        Integer.toString(basePort))
                .start();
    }
}
