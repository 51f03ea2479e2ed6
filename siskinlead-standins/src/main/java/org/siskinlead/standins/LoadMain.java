package org.siskinlead.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.siskinlead.protocol.json.Json;

/**
 * Load generator. With {@code --rate} (open loop) requests arrive independently of the answers, and latencies count
 * from the intended arrival, which avoids coordinated omission. With {@code --concurrency} (closed loop) each caller
 * sends its next request when its last one has ended.
 */
public final class LoadMain {
    private static final long DRAIN_TIMEOUT_MS = 15_000;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(Executors.newFixedThreadPool(2, LoadMain::newDaemonThread))
            .build();
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(LoadMain::newDaemonThread);
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicInteger lastRequestNumber = new AtomicInteger();
    private final Random random = new Random(1);
    private final List<String> entryAddresses;
    private final String token;
    private final String prompt;
    private final int maxTokens;
    private final int totalLayers;
    private final long deadlineMillis;
    private final LoadResults results;
    private volatile boolean stopped;

    private record CompletionRequest(String model, String prompt, int max_tokens, boolean stream, long deadline_ms) {}

    private LoadMain(
            List<String> entryAddresses,
            String token,
            String prompt,
            int maxTokens,
            int totalLayers,
            long deadlineMillis,
            LoadResults results) {
        this.entryAddresses = entryAddresses;
        this.token = token;
        this.prompt = prompt;
        this.maxTokens = maxTokens;
        this.totalLayers = totalLayers;
        this.deadlineMillis = deadlineMillis;
        this.results = results;
    }

    /**
     * Generates load and prints the results. Exits with status 1 if a token was wrong.
     * @param arguments command-line flags
     * @throws Exception if the thread is interrupted or the results cannot be written
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        OptionSpec<String> entries =
                parser.accepts("entries").withRequiredArg().required().withValuesSeparatedBy(',');
        OptionSpec<String> token = parser.accepts("token").withRequiredArg().defaultsTo("team-secret-for-tests");
        OptionSpec<String> prompt = parser.accepts("prompt").withRequiredArg().defaultsTo("draft a summary");
        OptionSpec<Integer> maxTokens = integerOption(parser, "tokens", 64);
        OptionSpec<Integer> totalLayers = integerOption(parser, "total-layers", 24);
        OptionSpec<Integer> seconds = integerOption(parser, "seconds", 10);
        OptionSpec<Integer> warmUp = integerOption(parser, "warm-up-seconds", 3);
        OptionSpec<Integer> concurrency = integerOption(parser, "concurrency", 0);
        OptionSpec<Double> rate =
                parser.accepts("rate").withRequiredArg().ofType(Double.class).defaultsTo(0.0);
        OptionSpec<Integer> deadline = integerOption(parser, "deadline-ms", 20_000);
        OptionSpec<String> out = parser.accepts("out").withRequiredArg().defaultsTo("");
        OptionSet options = parser.parse(arguments);
        long startNanos = System.nanoTime();
        long windowStartNanos = startNanos + TimeUnit.SECONDS.toNanos(options.valueOf(warmUp));
        long windowEndNanos = windowStartNanos + TimeUnit.SECONDS.toNanos(options.valueOf(seconds));
        LoadResults results = new LoadResults(windowStartNanos, windowEndNanos);
        LoadMain driver = new LoadMain(
                options.valuesOf(entries),
                options.valueOf(token),
                options.valueOf(prompt),
                options.valueOf(maxTokens),
                options.valueOf(totalLayers),
                options.valueOf(deadline),
                results);
        if (options.valueOf(concurrency) > 0) {
            driver.startClosedLoop(options.valueOf(concurrency));
        } else {
            driver.startOpenLoop(options.valueOf(rate));
        }
        driver.awaitEnd(windowEndNanos);
        writeResults(results, options.valueOf(out));
        System.exit(results.wrongTokens() == 0 ? 0 : 1);
    }

    private static OptionSpec<Integer> integerOption(OptionParser parser, String name, int defaultValue) {
        return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
    }

    private static Thread newDaemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    private static void writeResults(LoadResults results, String out) throws IOException {
        System.out.println(results.formatTable());
        if (!out.isEmpty()) {
            Files.writeString(Path.of(out), Json.writeAsString(results.summary()));
        }
    }

    private void startClosedLoop(int callers) {
        for (int i = 0; i < callers; i++) {
            scheduler.schedule(this::sendNext, 2L * i, TimeUnit.MILLISECONDS);
        }
    }

    private void sendNext() {
        if (!stopped) {
            send(System.nanoTime(), () -> scheduler.execute(this::sendNext));
        }
    }

    /** Schedules arrivals one by one at exponentially distributed intervals (Poisson process). */
    private void startOpenLoop(double requestsPerSecond) {
        scheduleArrival(System.nanoTime(), requestsPerSecond);
    }

    private void scheduleArrival(long previousNanos, double requestsPerSecond) {
        double intervalSeconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
        long intendedAtNanos = previousNanos + (long) (intervalSeconds * TimeUnit.SECONDS.toNanos(1));
        scheduler.schedule(
                () -> {
                    if (!stopped) {
                        scheduleArrival(intendedAtNanos, requestsPerSecond);
                        send(intendedAtNanos, () -> {});
                    }
                },
                Math.max(0, intendedAtNanos - System.nanoTime()),
                TimeUnit.NANOSECONDS);
    }

    private void send(long intendedAtNanos, Runnable onEnd) {
        int number = lastRequestNumber.incrementAndGet();
        String entry = entryAddresses.get(number % entryAddresses.size());
        String numberedPrompt = prompt + " " + number;
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + "/v1/completions"))
                .timeout(Duration.ofMillis(deadlineMillis + 5_000))
                .header("Authorization", "Bearer " + token)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofByteArray(
                        Json.write(new CompletionRequest("drafter", numberedPrompt, maxTokens, true, deadlineMillis))))
                .build();
        openRequests.incrementAndGet();
        TokenStreamSubscriber subscriber = new TokenStreamSubscriber(
                SimulatedModel.expectedTokens(numberedPrompt, maxTokens, totalLayers), intendedAtNanos, results);
        HttpResponse.BodyHandler<Void> handler = info -> info.statusCode() == 200
                ? BodySubscribers.fromLineSubscriber(subscriber)
                : BodySubscribers.mapping(BodySubscribers.ofString(StandardCharsets.UTF_8), body -> {
                    subscriber.onRefusal(body);
                    return null;
                });
        http.sendAsync(request, handler).whenComplete((response, error) -> {
            subscriber.recordEnd(error);
            openRequests.decrementAndGet();
            onEnd.run();
        });
    }

    private void awaitEnd(long windowEndNanos) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, windowEndNanos - System.nanoTime()));
        stopped = true;
        long drainEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MS);
        while (openRequests.get() > 0 && System.nanoTime() < drainEndNanos) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        results.setOpenRequests(openRequests.get());
    }
}
