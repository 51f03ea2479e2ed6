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

/** Writes one completion to its caller, whole or as server-sent events. */
final class CompletionResponder implements CompletionSink {
    private final HttpExchange exchange;
    private final String request;
    private final String model;
    private final boolean stream;
    private final List<String> tokens = new ArrayList<>();
    private boolean started;

    CompletionResponder(HttpExchange exchange, String request, String model, boolean stream) {
        this.exchange = exchange;
        this.request = request;
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
            exchange.startStream("text/event-stream", Map.of("X-Request-Id", request));
            started = true;
        }
        writeEvent("data: " + Json.text(new TokenEvent(request, position, token)));
    }

    @Override
    public void onComplete() {
        if (stream) {
            writeEvent("data: [DONE]");
            exchange.endStream();
            return;
        }
        String text = String.join(" ", tokens);
        exchange.respond(200, new CompletionAnswer(request, model, List.of(new CompletionAnswer.Choice(text, 0))));
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (!stream || !started) {
            Problems.respond(exchange, refusal, request);
            return;
        }
        writeEvent("event: error\ndata: " + Json.text(Problems.problem(refusal, request)));
        exchange.endStream();
    }

    @Override
    public boolean isCallerDisconnected() {
        return exchange.closed();
    }

    private void writeEvent(String event) {
        exchange.writePart((event + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
