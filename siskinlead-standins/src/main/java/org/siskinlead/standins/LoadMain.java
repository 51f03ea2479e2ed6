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
 * Load driver. With {@code --rate} requests arrive at their own pace, whatever the answers do, and times count from the
 * intended arrival; with {@code --concurrency} each caller sends its next request when the last has ended.
 */
public final class LoadMain {
    private static final long DRAIN_MS = 15_000;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(Executors.newFixedThreadPool(2, LoadMain::daemonThread))
            .build();
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(LoadMain::daemonThread);
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger numbers = new AtomicInteger();
    private final Random random = new Random(1);
    private final List<String> entries;
    private final String token;
    private final String prompt;
    private final int tokens;
    private final int totalLayers;
    private final long deadlineMillis;
    private final LoadResults results;
    private volatile boolean stopped;

    private record Body(String model, String prompt, int max_tokens, boolean stream, long deadline_ms) {}

    private LoadMain(
            List<String> entries,
            String token,
            String prompt,
            int tokens,
            int totalLayers,
            long deadlineMillis,
            LoadResults results) {
        this.entries = entries;
        this.token = token;
        this.prompt = prompt;
        this.tokens = tokens;
        this.totalLayers = totalLayers;
        this.deadlineMillis = deadlineMillis;
        this.results = results;
    }

    /**
     * Runs the driver and prints its results.
     * @param arguments command line
     * @throws Exception when it cannot run
     */
    public static void main(String[] arguments) throws Exception {
        OptionParser parser = new OptionParser();
        OptionSpec<String> entries =
                parser.accepts("entries").withRequiredArg().required().withValuesSeparatedBy(',');
        OptionSpec<String> token = parser.accepts("token").withRequiredArg().defaultsTo("team-secret-for-tests");
        OptionSpec<String> prompt = parser.accepts("prompt").withRequiredArg().defaultsTo("draft a summary");
        OptionSpec<Integer> tokens = integer(parser, "tokens", 64);
        OptionSpec<Integer> layers = integer(parser, "total-layers", 24);
        OptionSpec<Integer> seconds = integer(parser, "seconds", 10);
        OptionSpec<Integer> warmUp = integer(parser, "warm-up-seconds", 3);
        OptionSpec<Integer> concurrency = integer(parser, "concurrency", 0);
        OptionSpec<Double> rate =
                parser.accepts("rate").withRequiredArg().ofType(Double.class).defaultsTo(0.0);
        OptionSpec<Integer> deadline = integer(parser, "deadline-ms", 20_000);
        OptionSpec<String> out = parser.accepts("out").withRequiredArg().defaultsTo("");
        OptionSet options = parser.parse(arguments);
        long start = System.nanoTime();
        long from = start + TimeUnit.SECONDS.toNanos(options.valueOf(warmUp));
        long to = from + TimeUnit.SECONDS.toNanos(options.valueOf(seconds));
        LoadResults results = new LoadResults(from, to);
        LoadMain load = new LoadMain(
                options.valuesOf(entries),
                options.valueOf(token),
                options.valueOf(prompt),
                options.valueOf(tokens),
                options.valueOf(layers),
                options.valueOf(deadline),
                results);
        if (options.valueOf(concurrency) > 0) {
            load.startCallers(options.valueOf(concurrency));
        } else {
            load.startArrivals(options.valueOf(rate));
        }
        load.finish(to);
        report(results, options.valueOf(out));
        System.exit(results.wrongTokens() == 0 ? 0 : 1);
    }

    private static OptionSpec<Integer> integer(OptionParser parser, String name, int fallback) {
        return parser.accepts(name).withRequiredArg().ofType(Integer.class).defaultsTo(fallback);
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    private static void report(LoadResults results, String out) throws IOException {
        System.out.println(results.table());
        if (!out.isEmpty()) {
            Files.writeString(Path.of(out), Json.writeAsString(results.summary()));
        }
    }

    private void startCallers(int callers) {
        for (int i = 0; i < callers; i++) {
            clock.schedule(this::next, 2L * i, TimeUnit.MILLISECONDS);
        }
    }

    private void next() {
        if (!stopped) {
            send(System.nanoTime(), () -> clock.execute(this::next));
        }
    }

    /** Schedules arrivals one by one at exponentially distributed intervals. */
    private void startArrivals(double rate) {
        scheduleArrival(System.nanoTime(), rate);
    }

    private void scheduleArrival(long previous, double rate) {
        double seconds = -Math.log(1 - random.nextDouble()) / rate;
        long intended = previous + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        clock.schedule(
                () -> {
                    if (!stopped) {
                        scheduleArrival(intended, rate);
                        send(intended, () -> {});
                    }
                },
                Math.max(0, intended - System.nanoTime()),
                TimeUnit.NANOSECONDS);
    }

    private void send(long intendedAt, Runnable onEnded) {
        int number = numbers.incrementAndGet();
        String entry = entries.get(number % entries.size());
        String text = prompt + " " + number;
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + "/v1/completions"))
                .timeout(Duration.ofMillis(deadlineMillis + 5_000))
                .header("Authorization", "Bearer " + token)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofByteArray(Json.write(new Body("drafter", text, tokens, true, deadlineMillis))))
                .build();
        open.incrementAndGet();
        TokenStream stream = new TokenStream(TokenMath.answer(text, tokens, totalLayers), intendedAt, results);
        HttpResponse.BodyHandler<Void> handler = info -> info.statusCode() == 200
                ? BodySubscribers.fromLineSubscriber(stream)
                : BodySubscribers.mapping(BodySubscribers.ofString(StandardCharsets.UTF_8), body -> {
                    stream.refused(body);
                    return null;
                });
        http.sendAsync(request, handler).whenComplete((response, error) -> {
            stream.end(error);
            open.decrementAndGet();
            onEnded.run();
        });
    }

    private void finish(long to) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, to - System.nanoTime()));
        stopped = true;
        long giveUp = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
        while (open.get() > 0 && System.nanoTime() < giveUp) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        results.stillOpen(open.get());
    }
}
