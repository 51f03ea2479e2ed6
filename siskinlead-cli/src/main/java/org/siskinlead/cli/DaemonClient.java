package org.siskinlead.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** HTTP client that tries the daemons in order and uses the first that responds. */
final class DaemonClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final long MAX_RESPONSE_BYTES = 16_777_216;

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final List<String> entryAddresses;
    private final String token;
    private final Duration callTimeout;

    DaemonClient(List<String> entryAddresses, String token) {
        this(entryAddresses, token, CALL_TIMEOUT);
    }

    DaemonClient(List<String> entryAddresses, String token, Duration callTimeout) {
        this.entryAddresses = entryAddresses;
        this.token = token;
        this.callTimeout = callTimeout;
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
                .timeout(callTimeout)
                .header("Authorization", "Bearer " + token);
    }

    private Response send(HttpRequest request) throws IOException {
        // The timeout of a request ends with the header section of its response, so the whole exchange has one of its
        // own.
        CompletableFuture<HttpResponse<String>> exchange =
                http.sendAsync(request, LimitedBody.ofBytes(MAX_RESPONSE_BYTES));
        try {
            HttpResponse<String> response = exchange.get(callTimeout.toMillis(), TimeUnit.MILLISECONDS);
            return new Response(response.statusCode(), response.body());
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException failure) {
                throw failure;
            }
            throw new IOException("the exchange failed", e);
        } catch (TimeoutException e) {
            exchange.cancel(true);
            throw new IOException("no complete response within " + callTimeout.toMillis() + " ms", e);
        } catch (InterruptedException e) {
            exchange.cancel(true);
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a response", e);
        }
    }
}
