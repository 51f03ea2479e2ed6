package org.siskinlead.standins;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;
import org.siskinlead.protocol.caller.Problem;
import org.siskinlead.protocol.caller.TokenEvent;
import org.siskinlead.protocol.json.Json;
import org.siskinlead.protocol.json.ProtocolException;

/** Reads one streamed answer, compares it with the expected tokens and records its latencies. */
final class TokenStreamSubscriber implements Flow.Subscriber<String> {
    private final List<String> expected;
    private final LoadResults results;
    private final long intendedAtNanos;
    private long lastTokenAtNanos;
    private long longestGapNanos;
    private int receivedTokens;
    private boolean doneReceived;
    private String outcome = "broken";

    TokenStreamSubscriber(List<String> expected, long intendedAtNanos, LoadResults results) {
        this.expected = expected;
        this.intendedAtNanos = intendedAtNanos;
        this.results = results;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (line.equals("data: [DONE]")) {
            doneReceived = true;
        } else if (line.startsWith("data: {\"id\"")) {
            onToken(Json.read(line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8), TokenEvent.class));
        } else if (line.startsWith("data: {\"type\"")) {
            onRefusal(line.substring("data: ".length()));
        }
    }

    @Override
    public void onError(Throwable error) {}

    @Override
    public void onComplete() {}

    void onRefusal(String problem) {
        try {
            Problem refusal = Json.read(problem.getBytes(StandardCharsets.UTF_8), Problem.class);
            outcome = refusal.outcome() + " " + refusal.code();
        } catch (ProtocolException e) {
            outcome = "unreadable refusal";
        }
    }

    void recordEnd(@Nullable Throwable error) {
        if (doneReceived && receivedTokens == expected.size()) {
            outcome = "complete";
        } else if (doneReceived) {
            outcome = "cut short";
        } else if (error != null && outcome.equals("broken")) {
            outcome = "broken " + error.getClass().getSimpleName();
        }
        results.recordEnd(outcome, intendedAtNanos, System.nanoTime(), longestGapNanos);
    }

    private void onToken(TokenEvent event) {
        long nowNanos = System.nanoTime();
        boolean matches = event.position() == receivedTokens
                && receivedTokens < expected.size()
                && event.text().equals(expected.get(receivedTokens));
        if (receivedTokens == 0) {
            results.recordFirstToken(nowNanos, nowNanos - intendedAtNanos);
        } else {
            results.recordNextToken(nowNanos, nowNanos - lastTokenAtNanos);
            longestGapNanos = Math.max(longestGapNanos, nowNanos - lastTokenAtNanos);
        }
        if (!matches) {
            results.recordWrongToken();
        }
        receivedTokens++;
        lastTokenAtNanos = nowNanos;
    }
}
