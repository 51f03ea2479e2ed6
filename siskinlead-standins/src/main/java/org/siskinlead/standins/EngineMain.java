package org.siskinlead.standins;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.protocol.engine.CancelBody;
import org.siskinlead.protocol.engine.EngineReport;
import org.siskinlead.protocol.engine.OrderBody;
import org.siskinlead.protocol.engine.StepAnswerBody;
import org.siskinlead.protocol.engine.StepBody;
import org.siskinlead.protocol.http.HttpExchange;
import org.siskinlead.protocol.json.Json;

/**
 * Stand-in for a model engine that holds a range of layers. It uses continuous batching: each iteration runs as many
 * queued steps as its capacity allows, highest priority first. A prompt that contains {@value #CRASH_MARKER} terminates
 * the process.
 */
public final class EngineMain {
    /** Text in a prompt that terminates the engine process. */
    static final String CRASH_MARKER = "crash-engine";

    /** Reports lag behind the queue by up to this interval. */
    private static final long REPORT_UPDATE_INTERVAL_MS = 200;

    private static final int CHARACTERS_PER_PREFILL_STEP = 1_024;

    private Config config;
    private final Ledger ledger;
    private final long incarnation = System.currentTimeMillis();
    private final PriorityQueue<QueuedStep> queue = new PriorityQueue<>();
    private final Map<String, Sequence> sequences = new HashMap<>();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final boolean ignoresFencing;
    private final long loadMillis;
    private long highestFencingToken;
    private boolean loading;
    private long arrivalCount;
    private double stepCredit;
    private boolean leaving;
    private int reportedRunning;

    private record Config(
            String id,
            String kind,
            String model,
            String version,
            int from,
            int to,
            int totalLayers,
            double tokensPerSecond,
            long stepMillis) {
        Config withLayers(OrderBody order) {
            return new Config(
                    id,
                    kind,
                    order.model(),
                    order.version(),
                    order.from(),
                    order.to(),
                    totalLayers,
                    tokensPerSecond,
                    stepMillis);
        }
    }

    /** Ledger line of an order to hold other layers; {@code taken} is whether the engine accepted it. */
    private record OrderLine(String target, long fencing, int from, int to, boolean taken, long time) {}

    private record LedgerLine(
            String target,
            String request,
            int attempt,
            int position,
            String model,
            String version,
            int from,
            int to,
            boolean prefill,
            long time) {}

    private record QueuedStep(StepBody step, HttpExchange exchange, long arrivalNumber)
            implements Comparable<QueuedStep> {
        @Override
        public int compareTo(QueuedStep other) {
            int byPriority = Integer.compare(other.step.priority(), step.priority());
            return byPriority != 0 ? byPriority : Long.compare(arrivalNumber, other.arrivalNumber);
        }
    }

    private static final class Sequence {
        private int nextPosition;
        private long contextHash;
    }

    private EngineMain(Config config, Ledger ledger, boolean ignoresFencing, long loadMillis) {
        this.config = config;
        this.ledger = ledger;
        this.ignoresFencing = ignoresFencing;
        this.loadMillis = loadMillis;
    }

    /**
     * Runs the stand-in.
     * @param arguments command-line flags
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        OptionParser parser = new OptionParser();
        TargetOptions targetOptions = new TargetOptions(parser);
        OptionSpec<String> kind = parser.accepts("kind").withRequiredArg().defaultsTo("standard");
        OptionSpec<String> model = parser.accepts("model").withRequiredArg().defaultsTo("drafter");
        OptionSpec<String> version = parser.accepts("version").withRequiredArg().defaultsTo("v1");
        OptionSpec<Integer> from = integerOption(parser, "from", 0);
        OptionSpec<Integer> to = integerOption(parser, "to", 24);
        OptionSpec<Integer> totalLayers = integerOption(parser, "total-layers", 24);
        OptionSpec<Integer> tokensPerSecond = integerOption(parser, "tokens-per-second", 400);
        OptionSpec<Integer> stepMillis = integerOption(parser, "step-ms", 5);
        OptionSpec<Integer> loadMillis = integerOption(parser, "load-ms", 2_000);
        parser.accepts("ignore-fencing");
        OptionSet options = parser.parse(arguments);
        Config config = new Config(
                targetOptions.id(options),
                options.valueOf(kind),
                options.valueOf(model),
                options.valueOf(version),
                options.valueOf(from),
                options.valueOf(to),
                options.valueOf(totalLayers),
                options.valueOf(tokensPerSecond),
                options.valueOf(stepMillis));
        EventLoopGroup eventLoopGroup = StandInSupport.newEventLoopGroup();
        EngineMain engine = new EngineMain(
                config, targetOptions.openLedger(options), options.has("ignore-fencing"), options.valueOf(loadMillis));
        StandInSupport.serve(targetOptions.address(options), eventLoopGroup, engine::handle);
        engine.startIterations();
        StandInSupport.register(
                targetOptions.platform(options),
                targetOptions.vmEntry(options, VmEntry.Role.ENGINE, ""),
                eventLoopGroup);
        StandInSupport.runForever();
    }

    private static OptionSpec<Integer> integerOption(OptionParser parser, String name, int defaultValue) {
        return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
    }

    private void startIterations() {
        scheduler.scheduleAtFixedRate(
                this::runIteration, config.stepMillis(), config.stepMillis(), TimeUnit.MILLISECONDS);
        scheduler.scheduleAtFixedRate(
                this::updateReportedRunning,
                REPORT_UPDATE_INTERVAL_MS,
                REPORT_UPDATE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private synchronized void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/v1/step" -> enqueue(exchange);
            case "/v1/report" -> exchange.respond(200, createReport());
            case "/v1/cancel" -> {
                CancelBody cancel = Json.read(exchange.body(), CancelBody.class);
                sequences.remove(sequenceKey(cancel.request(), cancel.attempt()));
                exchange.respond(200, Map.of());
            }
            case "/v1/order" -> handleOrder(exchange);
            case "/admin/leave" -> {
                leaving = true;
                exchange.respond(200, Map.of());
            }
            default -> exchange.respond(404, Map.of("error", "no resource " + exchange.path()));
        }
    }

    /** Accepts or refuses an order to hold other layers. No new steps are accepted until they are loaded. */
    private void handleOrder(HttpExchange exchange) {
        OrderBody order = Json.read(exchange.body(), OrderBody.class);
        boolean accepted = !loading && (ignoresFencing || order.fencing() >= highestFencingToken);
        ledger.append(new OrderLine(
                config.id(), order.fencing(), order.from(), order.to(), accepted, System.currentTimeMillis()));
        if (!accepted) {
            exchange.respond(409, Map.of("error", "already loading, or a higher fencing token was seen"));
            return;
        }
        highestFencingToken = Math.max(highestFencingToken, order.fencing());
        loading = true;
        scheduler.schedule(() -> finishLoading(order), loadMillis, TimeUnit.MILLISECONDS);
        exchange.respond(200, Map.of());
    }

    private synchronized void finishLoading(OrderBody order) {
        config = config.withLayers(order);
        sequences.clear();
        loading = false;
    }

    private void enqueue(HttpExchange exchange) {
        StepBody step = Json.read(exchange.body(), StepBody.class);
        boolean matchesLayers = step.model().equals(config.model())
                && step.version().equals(config.version())
                && step.from() == config.from()
                && step.to() == config.to();
        if (!matchesLayers || loading || (leaving && step.prefill())) {
            exchange.respond(
                    409, Map.of("error", leaving ? "engine is leaving" : "layers, model or version not loaded"));
            return;
        }
        queue.add(new QueuedStep(step, exchange, arrivalCount++));
    }

    private synchronized void runIteration() {
        double creditPerIteration = config.tokensPerSecond() * config.stepMillis() / 1000.0;
        stepCredit = Math.min(stepCredit + creditPerIteration, 1 + creditPerIteration);
        while (stepCredit >= 1 && !queue.isEmpty()) {
            QueuedStep next = queue.remove();
            stepCredit -= stepCost(next.step());
            runStep(next);
        }
    }

    private static double stepCost(StepBody step) {
        return step.prefill() ? 1 + (double) step.input().length() / CHARACTERS_PER_PREFILL_STEP : 1;
    }

    private void runStep(QueuedStep queued) {
        StepBody step = queued.step();
        if (step.input().contains(CRASH_MARKER)) {
            // Exit status of a process killed by SIGKILL.
            Runtime.getRuntime().halt(137);
        }
        String key = sequenceKey(step.request(), step.attempt());
        Sequence sequence = step.prefill() ? new Sequence() : sequences.get(key);
        if (sequence == null || (!step.prefill() && sequence.nextPosition != step.position())) {
            queued.exchange().respond(409, Map.of("error", "no state at position " + step.position()));
            return;
        }
        sequences.put(key, sequence);
        sequence.nextPosition = step.position() + 1;
        ledger.append(new LedgerLine(
                config.id(),
                step.request(),
                step.attempt(),
                step.position(),
                config.model(),
                config.version(),
                config.from(),
                config.to(),
                step.prefill(),
                System.currentTimeMillis()));
        queued.exchange()
                .respond(
                        200,
                        new StepAnswerBody(
                                step.request(),
                                step.attempt(),
                                step.position(),
                                config.version(),
                                config.from(),
                                config.to(),
                                computeOutput(step, sequence)));
    }

    private String computeOutput(StepBody step, Sequence sequence) {
        long activation = computeInput(step, sequence);
        for (int layer = config.from(); layer < config.to(); layer++) {
            activation = SimulatedModel.applyLayer(activation, layer);
        }
        boolean isLastStage = config.to() == config.totalLayers();
        return isLastStage ? SimulatedModel.toToken(activation) : Long.toHexString(activation);
    }

    private long computeInput(StepBody step, Sequence sequence) {
        if (config.from() > 0) {
            return Long.parseUnsignedLong(step.input(), 16);
        }
        sequence.contextHash = step.prefill()
                ? SimulatedModel.hashContext(step.input())
                : SimulatedModel.extendContext(sequence.contextHash, " " + step.input());
        return sequence.contextHash;
    }

    private synchronized void updateReportedRunning() {
        reportedRunning = queue.size();
    }

    private EngineReport createReport() {
        return new EngineReport(
                config.id(),
                incarnation,
                config.kind(),
                config.model(),
                config.version(),
                config.from(),
                config.to(),
                config.totalLayers(),
                config.tokensPerSecond(),
                reportedRunning,
                leaving || loading);
    }

    private static String sequenceKey(String request, int attempt) {
        return request + "#" + attempt;
    }
}
