package org.siskinlead.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.siskinlead.core.configuration.TeamDocument;
import org.siskinlead.core.node.Node;
import org.siskinlead.core.serving.CompletionRequest;
import org.siskinlead.core.serving.Fingerprint;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.core.serving.ServiceCall;
import org.siskinlead.core.serving.ServiceSink;
import org.siskinlead.daemon.loop.DecisionLoop;
import org.siskinlead.protocol.caller.CompletionBody;
import org.siskinlead.protocol.caller.EntryAnswer;
import org.siskinlead.protocol.http.ExchangeHandler;
import org.siskinlead.protocol.http.HttpExchange;
import org.siskinlead.protocol.json.Json;
import org.siskinlead.protocol.json.ProtocolException;

/** Takes requests of callers and operators and hands them to the decision thread. */
public final class EntryServer implements ExchangeHandler {
    private static final Logger LOG = LogManager.getLogger(EntryServer.class);
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final int MAX_TOKENS = 4_096;
    private static final long DEFAULT_DEADLINE_MS = 60_000;
    private static final long MAX_DEADLINE_MS = 300_000;
    private static final int MAX_KEY_CHARACTERS = 200;
    private static final String KEY = "Idempotency-Key";
    private static final String SERVICES = "/v1/services/";
    private static final String OPERATOR = "/v1/operator/";

    private final Node node;
    private final DecisionLoop loop;
    private final Supplier<String> ids;
    private final OperatorEndpoints operator;
    private final String operatorTokenSha256;

    private EntryServer(
            Node node,
            DecisionLoop loop,
            Supplier<String> ids,
            OperatorEndpoints operator,
            String operatorTokenSha256) {
        this.node = node;
        this.loop = loop;
        this.ids = ids;
        this.operator = operator;
        this.operatorTokenSha256 = operatorTokenSha256;
    }

    /**
     * Creates the interface.
     * @param node decisions
     * @param loop decision thread
     * @param ids source of identifiers of requests
     * @param operator operators' part
     * @param operatorTokenSha256 hash of the operators' credential
     * @return the interface
     */
    public static EntryServer of(
            Node node,
            DecisionLoop loop,
            Supplier<String> ids,
            OperatorEndpoints operator,
            String operatorTokenSha256) {
        return new EntryServer(node, loop, ids, operator, operatorTokenSha256);
    }

    @Override
    public void handle(HttpExchange exchange) {
        String request = ids.get();
        boolean published = loop.tryPublish(() -> route(exchange, request));
        if (!published) {
            respond(exchange, Refusal.notRun(RefusalCode.OVERLOADED, "this entry VM is overloaded", 1_000), request);
        }
    }

    private void route(HttpExchange exchange, String request) {
        try {
            String path = exchange.path();
            if (path.equals("/livez")) {
                exchange.respond(200, new Health("live"));
            } else if (path.equals("/readyz")) {
                boolean ready = node.membership().isActive() && !node.draining();
                exchange.respond(ready ? 200 : 503, new Health(ready ? "ready" : "not-ready"));
            } else if (path.equals("/v1/entries") && exchange.method().equals("GET")) {
                entries(exchange);
            } else if (path.startsWith(OPERATOR)) {
                operator(exchange, path.substring(OPERATOR.length()), request);
            } else if (path.equals("/v1/completions")) {
                completion(exchange, request);
            } else if (path.startsWith(SERVICES)) {
                service(exchange, path.substring(SERVICES.length()), request);
            } else {
                refuse(exchange, RefusalCode.UNKNOWN_SERVICE, "no resource \"" + path + "\"", request);
            }
        } catch (ProtocolException e) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "the body is not the JSON expected", request);
        } catch (RuntimeException e) {
            LOG.error("request {} could not be handled", request, e);
            Refusal refusal = Refusal.failed(RefusalCode.INVARIANT_VIOLATED, "a fault in this entry VM", 1_000);
            Problems.respond(exchange, refusal, request);
        }
    }

    private void entries(HttpExchange exchange) {
        List<EntryAnswer.Entry> entries = node.entryVms().stream()
                .map(m -> new EntryAnswer.Entry(m.entryAddress(), m.dataCentre()))
                .toList();
        exchange.respond(200, new EntryAnswer(entries, Node.ENTRY_LIST_TTL_MS));
    }

    private void operator(HttpExchange exchange, String resource, String request) {
        if (!credentialHash(exchange).equals(operatorTokenSha256)) {
            refuse(exchange, RefusalCode.NO_CREDENTIAL, "operators' credential needed", request);
            return;
        }
        if (!operator.handle(exchange, resource)) {
            refuse(exchange, RefusalCode.UNKNOWN_SERVICE, "no operators' resource \"" + resource + "\"", request);
        }
    }

    private void completion(HttpExchange exchange, String request) {
        Optional<TeamDocument> team = authenticated(exchange, request);
        if (team.isEmpty()) {
            return;
        }
        CompletionBody body = Json.read(exchange.body(), CompletionBody.class);
        String name = team.get().template().team();
        String model = body.model();
        String prompt = body.prompt();
        int maxTokens = body.maxTokens() == 0 ? DEFAULT_MAX_TOKENS : body.maxTokens();
        long deadline = body.deadlineMs() == 0 ? DEFAULT_DEADLINE_MS : body.deadlineMs();
        if (model == null || prompt == null) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "model and prompt are needed", request);
        } else if (maxTokens < 1 || maxTokens > MAX_TOKENS) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "max_tokens must be 1 to " + MAX_TOKENS, request);
        } else if (deadline < 1 || deadline > MAX_DEADLINE_MS) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "deadline_ms must be 1 to " + MAX_DEADLINE_MS, request);
        } else if (body.team() != null && !body.team().equals(name)) {
            refuse(exchange, RefusalCode.NOT_ALLOWED, "the credential is not of team \"" + body.team() + "\"", request);
        } else {
            node.serving()
                    .serveCompletion(
                            new CompletionRequest(request, name, model, prompt, maxTokens, deadline),
                            new CompletionResponder(exchange, request, model, body.stream()));
        }
    }

    private void service(HttpExchange exchange, String resource, String request) {
        Optional<TeamDocument> team = authenticated(exchange, request);
        if (team.isEmpty()) {
            return;
        }
        String[] parts = resource.split("/", -1);
        String key = exchange.header(KEY);
        if (parts.length != 2 || !isName(parts[0]) || !isName(parts[1])) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "expected /v1/services/{service}/{operation}", request);
            return;
        }
        if (key.length() > MAX_KEY_CHARACTERS) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "Idempotency-Key is too long", request);
            return;
        }
        String body = new String(exchange.body(), StandardCharsets.UTF_8);
        String name = team.get().template().team();
        ServiceCall call = new ServiceCall(request, name, parts[0], parts[1], key, body);
        node.serving().serveCall(call, new Responder(exchange, request));
    }

    private static boolean isName(String part) {
        return part.matches("[A-Za-z0-9._-]{1,64}");
    }

    private Optional<TeamDocument> authenticated(HttpExchange exchange, String request) {
        if (!exchange.method().equals("POST")) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "expected POST", request);
            return Optional.empty();
        }
        String type = exchange.header("Content-Type").toLowerCase(Locale.ROOT);
        if (!type.startsWith("application/json")) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "expected Content-Type application/json", request);
            return Optional.empty();
        }
        Optional<TeamDocument> team = node.configuration().teamByCredential(credentialHash(exchange));
        if (team.isEmpty()) {
            refuseUnknownCaller(exchange, request);
        }
        return team;
    }

    /** Refuses a credential that no template has, unless this daemon cannot know all templates. */
    private void refuseUnknownCaller(HttpExchange exchange, String request) {
        if (node.membership().isActive()) {
            refuse(exchange, RefusalCode.NO_CREDENTIAL, "a team's bearer credential is needed", request);
        } else {
            respond(
                    exchange,
                    Refusal.notRun(RefusalCode.NOT_IN_STANDING, "this entry VM does not know the templates", 1_000),
                    request);
        }
    }

    private static String credentialHash(HttpExchange exchange) {
        String header = exchange.header("Authorization");
        return header.startsWith("Bearer ") ? Fingerprint.ofCredential(header.substring("Bearer ".length())) : "";
    }

    private static void refuse(HttpExchange exchange, RefusalCode code, String detail, String request) {
        respond(exchange, Refusal.notRun(code, detail, 0), request);
    }

    /** Refuses before the key, which only calls to services have, was looked up. */
    private static void respond(HttpExchange exchange, Refusal refusal, String request) {
        String key = exchange.path().startsWith(SERVICES) ? exchange.header(KEY) : "";
        Problems.respond(exchange, refusal.withIdempotencyKey(key), request);
    }

    private record Health(String status) {}

    private record Responder(HttpExchange exchange, String request) implements ServiceSink {
        @Override
        public void onAnswer(int status, String body, boolean replayed) {
            Map<String, String> headers = replayed
                    ? Map.of("X-Request-Id", request, "Idempotent-Replayed", "true")
                    : Map.of("X-Request-Id", request);
            exchange.respond(status, "application/json", body.getBytes(StandardCharsets.UTF_8), headers);
        }

        @Override
        public void onRefused(Refusal refusal) {
            Problems.respond(exchange, refusal, request);
        }
    }
}
