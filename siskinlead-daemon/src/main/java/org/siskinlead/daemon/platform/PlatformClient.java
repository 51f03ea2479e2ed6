package org.siskinlead.daemon.platform;

import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.platform.Versioned;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.core.platform.WriteOutcome;
import org.siskinlead.core.platform.WriteResult;
import org.siskinlead.daemon.loop.DecisionLoop;
import org.siskinlead.protocol.http.HttpClient;
import org.siskinlead.protocol.http.HttpClient.Result;
import org.siskinlead.protocol.http.HttpClient.Reuse;
import org.siskinlead.protocol.json.Json;
import org.siskinlead.protocol.json.ProtocolException;
import org.siskinlead.protocol.platform.KvVersion;
import org.siskinlead.protocol.platform.VmList;

/** Calls the platform over HTTP and delivers every response on the decision thread. */
public final class PlatformClient implements KeyValueStore {
    private static final Logger LOG = LogManager.getLogger(PlatformClient.class);
    private static final long REQUEST_TIMEOUT_MS = 800;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient http;
    private final InetSocketAddress platformAddress;
    private final DecisionLoop loop;
    private long readCount;
    private long writeCount;

    private PlatformClient(HttpClient http, InetSocketAddress platformAddress, DecisionLoop loop) {
        this.http = http;
        this.platformAddress = platformAddress;
        this.loop = loop;
    }

    /**
     * Creates a client.
     * @param http HTTP client
     * @param platformAddress address of the platform's key-value service and VM list
     * @param loop decision thread
     * @return the client
     */
    public static PlatformClient of(HttpClient http, InetSocketAddress platformAddress, DecisionLoop loop) {
        return new PlatformClient(http, platformAddress, loop);
    }

    /**
     * Counts the reads since the start, those without a response included; call on the decision thread only.
     * @return read requests of keys and of the VM list
     */
    public long readCount() {
        return readCount;
    }

    /**
     * Counts the writes since the start, those without a response included; call on the decision thread only.
     * @return compare-and-set requests
     */
    public long writeCount() {
        return writeCount;
    }

    @Override
    public <T> void read(String key, Class<T> type, Consumer<Versioned<T>> onValue, Runnable onFailure) {
        readCount++;
        send("GET", "/kv/" + encode(key), NO_BODY, result -> {
            if (result.failure() == null && result.status() == NOT_FOUND) {
                onValue.accept(new Versioned<>(0, null));
            } else if (result.failure() == null && result.status() == OK) {
                decodeVersioned(key, type, result.body(), onValue, onFailure);
            } else {
                onFailure.run();
            }
        });
    }

    @Override
    public void compareAndSet(String key, long expectedVersion, Object value, Consumer<WriteResult> onResult) {
        writeCount++;
        String uri = "/kv/" + encode(key) + "?expect=" + expectedVersion;
        send("PUT", uri, Json.write(value), result -> onResult.accept(toWriteResult(result)));
    }

    /**
     * Reads the list of VMs.
     * @param onVms receives the list on the decision thread; not called when the request fails
     */
    public void listVms(Consumer<List<VmEntry>> onVms) {
        readCount++;
        send("GET", "/vms", NO_BODY, result -> {
            if (result.failure() == null && result.status() == OK) {
                decode(result.body(), VmList.class).map(VmList::vms).ifPresent(onVms);
            }
        });
    }

    private void send(String method, String uri, byte[] body, Consumer<Result> onResult) {
        http.send(
                platformAddress,
                method,
                uri,
                Map.of(),
                body,
                REQUEST_TIMEOUT_MS,
                Reuse.FRESH,
                result -> loop.publish(() -> onResult.accept(result)));
    }

    private static WriteResult toWriteResult(Result result) {
        if (result.failure() == null && result.status() == OK) {
            return decode(result.body(), KvVersion.class)
                    .map(version -> new WriteResult(WriteOutcome.WRITTEN, version.version()))
                    .orElse(new WriteResult(WriteOutcome.UNKNOWN, 0));
        }
        if (result.failure() == null && result.status() == CONFLICT) {
            return new WriteResult(WriteOutcome.CONFLICT, 0);
        }
        return new WriteResult(WriteOutcome.UNKNOWN, 0);
    }

    private static <T> Optional<T> decode(byte[] body, Class<T> type) {
        try {
            return Optional.of(Json.read(body, type));
        } catch (ProtocolException e) {
            LOG.error("cannot decode an answer of the platform", e);
            return Optional.empty();
        }
    }

    /** Decodes a response body: the version in the first line, then the value as JSON. */
    private static <T> void decodeVersioned(
            String key, Class<T> type, byte[] body, Consumer<Versioned<T>> onValue, Runnable onFailure) {
        Versioned<T> decoded;
        try {
            int end = indexOfNewline(body);
            long version = Long.parseLong(new String(body, 0, end, StandardCharsets.US_ASCII));
            byte[] json = Arrays.copyOfRange(body, end + 1, body.length);
            decoded = new Versioned<>(version, Json.read(json, type));
        } catch (ProtocolException | NumberFormatException e) {
            LOG.error("cannot decode the value of key \"{}\"", key, e);
            onFailure.run();
            return;
        }
        onValue.accept(decoded);
    }

    private static int indexOfNewline(byte[] body) {
        for (int i = 0; i < body.length; i++) {
            if (body[i] == '\n') {
                return i;
            }
        }
        throw new NumberFormatException("response has no version line before the value");
    }

    private static String encode(String key) {
        return URLEncoder.encode(key, StandardCharsets.UTF_8);
    }
}
