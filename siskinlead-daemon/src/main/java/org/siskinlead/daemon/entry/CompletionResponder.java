package org.siskinlead.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.siskinlead.core.serving.CompletionSink;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.protocol.caller.CompletionAnswer;
import org.siskinlead.protocol.caller.TokenEvent;
import org.siskinlead.protocol.http.HttpExchange;
import org.siskinlead.protocol.json.Json;

/** Writes one completion to its caller, in one response or as server-sent events. */
final class CompletionResponder implements CompletionSink {
    private final HttpExchange exchange;
    private final String requestId;
    private final String model;
    private final boolean stream;
    private final List<String> tokens = new ArrayList<>();
    private boolean streamStarted;

    CompletionResponder(HttpExchange exchange, String requestId, String model, boolean stream) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.model = model;
        this.stream = stream;
    }

    @Override
    public void onToken(int position, String token) {
        if (!stream) {
            tokens.add(token);
            return;
        }
        if (position == 0) {
            exchange.startStream("text/event-stream", Map.of("X-Request-Id", requestId));
            streamStarted = true;
        }
        writeEvent("data: " + Json.writeAsString(new TokenEvent(requestId, position, token)));
    }

    @Override
    public void onComplete() {
        if (stream) {
            writeEvent("data: [DONE]");
            exchange.endStream();
            return;
        }
        String text = String.join(" ", tokens);
        exchange.respond(200, new CompletionAnswer(requestId, model, List.of(new CompletionAnswer.Choice(text, 0))));
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (!stream || !streamStarted) {
            Problems.respond(exchange, refusal, requestId);
            return;
        }
        writeEvent("event: error\ndata: " + Json.writeAsString(Problems.problem(refusal, requestId)));
        exchange.endStream();
    }

    @Override
    public boolean isCallerDisconnected() {
        return exchange.isClosed();
    }

    private void writeEvent(String event) {
        exchange.writeChunk((event + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
