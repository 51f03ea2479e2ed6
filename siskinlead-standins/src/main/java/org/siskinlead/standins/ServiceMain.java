package org.siskinlead.standins;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.protocol.http.HttpExchange;

/** Stand-in for a plain service: executes every request, repeated ones too, and records each in its ledger. */
public final class ServiceMain {
    private final String id;
    private final Ledger ledger;
    private final long delayMillis;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private long executionCount;

    /** Ledger line of an executed request; {@code number} counts the requests executed since the start. */
    private record LedgerLine(
            String service, String request, String key, String operation, String body, long number, long time) {}

    private ServiceMain(String id, Ledger ledger, long delayMillis) {
        this.id = id;
        this.ledger = ledger;
        this.delayMillis = delayMillis;
    }

    /**
     * Runs the stand-in.
     * @param arguments command-line flags
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        OptionParser parser = new OptionParser();
        TargetOptions targetOptions = new TargetOptions(parser);
        OptionSpec<String> service = parser.accepts("service").withRequiredArg().required();
        OptionSpec<Long> delay =
                parser.accepts("delay-ms").withRequiredArg().ofType(Long.class).defaultsTo(20L);
        OptionSet options = parser.parse(arguments);
        ServiceMain standIn =
                new ServiceMain(targetOptions.id(options), targetOptions.openLedger(options), options.valueOf(delay));
        EventLoopGroup eventLoopGroup = StandInSupport.newEventLoopGroup();
        StandInSupport.serve(targetOptions.address(options), eventLoopGroup, standIn::handle);
        VmEntry entry = targetOptions.vmEntry(options, VmEntry.Role.SERVICE, options.valueOf(service));
        StandInSupport.register(targetOptions.platform(options), entry, eventLoopGroup);
        StandInSupport.runForever();
    }

    private void handle(HttpExchange exchange) {
        scheduler.schedule(() -> execute(exchange), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void execute(HttpExchange exchange) {
        executionCount++;
        String operation = exchange.path().substring(1);
        ledger.append(new LedgerLine(
                id,
                exchange.header("X-Request-Id"),
                exchange.header("Idempotency-Key"),
                operation,
                new String(exchange.body(), StandardCharsets.UTF_8),
                executionCount,
                System.currentTimeMillis()));
        exchange.respond(200, Map.of("service", id, "operation", operation, "number", executionCount));
    }
}
