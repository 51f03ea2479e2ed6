package org.siskinlead.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.protocol.http.HttpExchange;
import org.siskinlead.protocol.json.Json;
import org.siskinlead.protocol.platform.KvVersion;
import org.siskinlead.protocol.platform.VmList;

/** Stand-in for the platform: a key-value store with compare-and-swap, and a list of VMs that lags behind. */
public final class PlatformMain {
    private final Map<String, VersionedValue> values = new LinkedHashMap<>();
    private final Map<String, VersionedValue> previousValues = new LinkedHashMap<>();
    private final Map<String, VmEntry> vms = new LinkedHashMap<>();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final long listLagMillis;
    private List<VmEntry> publishedVms = List.of();
    private Fault fault = new Fault(false, 0, 0, false);
    private long lastVersion;
    private long readCount;
    private long writeCount;

    private record VersionedValue(long version, String json) {}

    /**
     * Faults to inject into the service.
     * @param outage whether requests get no response
     * @param slowMillis delay of each response in milliseconds
     * @param loseAnswers number of coming writes that take effect but get no response
     * @param staleReads whether reads return the previous value of a key
     */
    private record Fault(boolean outage, long slowMillis, int loseAnswers, boolean staleReads) {}

    private record Stats(long reads, long writes) {}

    private PlatformMain(long listLagMillis) {
        this.listLagMillis = listLagMillis;
    }

    /**
     * Runs the stand-in.
     * @param arguments command-line flags
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> address = parser.accepts("address").withRequiredArg().required();
        OptionSpec<Long> lag = parser.accepts("list-lag-ms")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1_000L);
        OptionSet options = parser.parse(arguments);
        PlatformMain platform = new PlatformMain(options.valueOf(lag));
        StandInSupport.serve(options.valueOf(address), StandInSupport.newEventLoopGroup(), platform::handle);
        StandInSupport.runForever();
    }

    private synchronized void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.startsWith("/admin/")) {
            handleAdmin(exchange, path.substring("/admin/".length()));
            return;
        }
        if (fault.outage()) {
            return;
        }
        if (fault.slowMillis() > 0) {
            scheduler.schedule(() -> serve(exchange, path), fault.slowMillis(), TimeUnit.MILLISECONDS);
        } else {
            serve(exchange, path);
        }
    }

    private synchronized void serve(HttpExchange exchange, String path) {
        if (path.equals("/vms")) {
            readCount++;
            exchange.respond(200, new VmList(publishedVms));
        } else if (path.startsWith("/kv/") && exchange.method().equals("GET")) {
            readCount++;
            read(exchange, path.substring("/kv/".length()));
        } else if (path.startsWith("/kv/") && exchange.method().equals("PUT")) {
            writeCount++;
            write(exchange, path.substring("/kv/".length()));
        } else {
            exchange.respond(404, Map.of("error", "no resource " + path));
        }
    }

    private void read(HttpExchange exchange, String key) {
        @Nullable
        VersionedValue value = fault.staleReads() ? previousValues.getOrDefault(key, values.get(key)) : values.get(key);
        if (value == null) {
            exchange.respond(404, Map.of("error", "no key " + key));
            return;
        }
        byte[] body = (value.version() + "\n" + value.json()).getBytes(StandardCharsets.UTF_8);
        exchange.respond(200, "application/octet-stream", body, Map.of());
    }

    private void write(HttpExchange exchange, String key) {
        VersionedValue current = values.get(key);
        long version = current == null ? 0 : current.version();
        if (exchange.body().length > KeyValueStore.MAX_VALUE_BYTES) {
            exchange.respond(413, Map.of("error", "value exceeds " + KeyValueStore.MAX_VALUE_BYTES + " bytes"));
            return;
        }
        if (Long.parseLong(exchange.query("expect", "-1")) != version) {
            exchange.respond(409, new KvVersion(version));
            return;
        }
        if (current != null) {
            previousValues.put(key, current);
        }
        lastVersion++;
        values.put(key, new VersionedValue(lastVersion, new String(exchange.body(), StandardCharsets.UTF_8)));
        if (fault.loseAnswers() > 0) {
            fault = new Fault(fault.outage(), fault.slowMillis(), fault.loseAnswers() - 1, fault.staleReads());
            return;
        }
        exchange.respond(200, new KvVersion(lastVersion));
    }

    private void handleAdmin(HttpExchange exchange, String operation) {
        switch (operation) {
            case "fault" -> {
                fault = Json.read(exchange.body(), Fault.class);
                exchange.respond(200, fault);
            }
            case "stats" -> exchange.respond(200, new Stats(readCount, writeCount));
            case "vms" -> {
                VmEntry entry = Json.read(exchange.body(), VmEntry.class);
                vms.put(entry.id(), entry);
                schedulePublication();
                exchange.respond(200, entry);
            }
            case "forget" -> {
                vms.remove(exchange.query("id", ""));
                schedulePublication();
                exchange.respond(200, Map.of());
            }
            default -> exchange.respond(404, Map.of("error", "no admin operation " + operation));
        }
    }

    private void schedulePublication() {
        List<VmEntry> snapshot = new ArrayList<>(vms.values());
        scheduler.schedule(() -> publish(snapshot), listLagMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void publish(List<VmEntry> snapshot) {
        publishedVms = snapshot;
    }
}
