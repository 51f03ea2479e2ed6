package org.siskinlead.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/** HTTP client that tries the daemons in order and uses the first that responds. */
final class DaemonClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final List<String> entryAddresses;
    private final String token;

    DaemonClient(List<String> entryAddresses, String token) {
        this.entryAddresses = entryAddresses;
        this.token = token;
    }

    record Response(int status, String body) {}

    /** Sends a GET request to one daemon after another until one responds. */
    Response get(String path) {
        IOException lastFailure = new IOException("no entry address given");
        for (String entryAddress : entryAddresses) {
            try {
                return getFrom(entryAddress, path);
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        throw CliException.of(ExitCode.UNAVAILABLE, "no daemon of " + entryAddresses + " responded", lastFailure);
    }

    /** Sends a GET request to one daemon. */
    Response getFrom(String entryAddress, String path) throws IOException {
        return send(requestBuilder(entryAddress, path).GET().build());
    }

    /**
     * Sends a change to the first daemon that accepts a connection. A change that may have been sent is not repeated,
     * because it may have taken effect.
     */
    Response post(String path, byte[] body) {
        ConnectException lastFailure = new ConnectException("no entry address given");
        for (String entryAddress : entryAddresses) {
            try {
                return send(requestBuilder(entryAddress, path)
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofByteArray(body))
                        .build());
            } catch (ConnectException e) {
                lastFailure = e;
            } catch (IOException e) {
                throw CliException.of(
                        ExitCode.UNKNOWN,
                        "no response from " + entryAddress + "; the change may have taken effect, check the status",
                        e);
            }
        }
        throw CliException.of(
                ExitCode.UNAVAILABLE, "no daemon of " + entryAddresses + " accepted a connection", lastFailure);
    }

    private HttpRequest.Builder requestBuilder(String entryAddress, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + entryAddress + path))
                .timeout(CALL_TIMEOUT)
                .header("Authorization", "Bearer " + token);
    }

    private Response send(HttpRequest request) throws IOException {
        try {
            HttpResponse<String> response = http.send(request, BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a response", e);
        }
    }
}
