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

/** Accepts requests of callers and operators and handles them on the decision thread. */
public final class EntryServer implements ExchangeHandler {
    private static final Logger LOG = LogManager.getLogger(EntryServer.class);
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final int MAX_TOKENS = 4_096;
    private static final long DEFAULT_DEADLINE_MS = 60_000;
    private static final long MAX_DEADLINE_MS = 300_000;
    private static final int MAX_IDEMPOTENCY_KEY_CHARACTERS = 200;
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String SERVICES_PREFIX = "/v1/services/";
    private static final String OPERATOR_PREFIX = "/v1/operator/";

    private final Node node;
    private final DecisionLoop loop;
    private final Supplier<String> requestIds;
    private final OperatorEndpoints operatorEndpoints;
    private final String operatorTokenSha256;

    private EntryServer(
            Node node,
            DecisionLoop loop,
            Supplier<String> requestIds,
            OperatorEndpoints operatorEndpoints,
            String operatorTokenSha256) {
        this.node = node;
        this.loop = loop;
        this.requestIds = requestIds;
        this.operatorEndpoints = operatorEndpoints;
        this.operatorTokenSha256 = operatorTokenSha256;
    }

    /**
     * Creates a handler of HTTP requests.
     * @param node node that serves the requests
     * @param loop decision thread
     * @param requestIds supplier of unique request identifiers
     * @param operatorEndpoints resources for operators
     * @param operatorTokenSha256 SHA-256 of the operator credential, in hexadecimal
     * @return the handler
     */
    public static EntryServer of(
            Node node,
            DecisionLoop loop,
            Supplier<String> requestIds,
            OperatorEndpoints operatorEndpoints,
            String operatorTokenSha256) {
        return new EntryServer(node, loop, requestIds, operatorEndpoints, operatorTokenSha256);
    }

    @Override
    public void handle(HttpExchange exchange) {
        String requestId = requestIds.get();
        boolean published = loop.tryPublish(() -> route(exchange, requestId));
        if (!published) {
            refuseBeforeKeyLookup(
                    exchange,
                    Refusal.notRun(
                            RefusalCode.OVERLOADED,
                            "this entry VM is overloaded: its event queue is nearly full",
                            1_000),
                    requestId);
        }
    }

    private void route(HttpExchange exchange, String requestId) {
        try {
            String path = exchange.path();
            if (path.equals("/livez")) {
                exchange.respond(200, new Health("live"));
            } else if (path.equals("/readyz")) {
                boolean ready = node.membership().isActive() && !node.draining();
                exchange.respond(ready ? 200 : 503, new Health(ready ? "ready" : "not-ready"));
            } else if (path.equals("/v1/entries") && exchange.method().equals("GET")) {
                listEntries(exchange);
            } else if (path.startsWith(OPERATOR_PREFIX)) {
                handleOperator(exchange, path.substring(OPERATOR_PREFIX.length()), requestId);
            } else if (path.equals("/v1/completions")) {
                startCompletion(exchange, requestId);
            } else if (path.startsWith(SERVICES_PREFIX)) {
                callService(exchange, path.substring(SERVICES_PREFIX.length()), requestId);
            } else {
                refuse(exchange, RefusalCode.UNKNOWN_SERVICE, "no resource \"" + path + "\"", requestId);
            }
        } catch (ProtocolException e) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "the request body is not JSON of the expected form", requestId);
        } catch (RuntimeException e) {
            LOG.error("unexpected exception while handling request {}", requestId, e);
            Refusal refusal = Refusal.failed(RefusalCode.INVARIANT_VIOLATED, "internal error in this entry VM", 1_000);
            Problems.respond(exchange, refusal, requestId);
        }
    }

    private void listEntries(HttpExchange exchange) {
        List<EntryAnswer.Entry> entries = node.entryVms().stream()
                .map(m -> new EntryAnswer.Entry(m.entryAddress(), m.dataCentre()))
                .toList();
        exchange.respond(200, new EntryAnswer(entries, Node.ENTRY_LIST_TTL_MS));
    }

    private void handleOperator(HttpExchange exchange, String resource, String requestId) {
        if (!credentialHash(exchange).equals(operatorTokenSha256)) {
            refuse(exchange, RefusalCode.NO_CREDENTIAL, "a valid operator credential is required", requestId);
            return;
        }
        if (!operatorEndpoints.handle(exchange, resource)) {
            refuse(exchange, RefusalCode.UNKNOWN_SERVICE, "no operator resource \"" + resource + "\"", requestId);
        }
    }

    private void startCompletion(HttpExchange exchange, String requestId) {
        Optional<TeamDocument> team = authenticate(exchange, requestId);
        if (team.isEmpty()) {
            return;
        }
        CompletionBody body = Json.read(exchange.body(), CompletionBody.class);
        String teamName = team.get().template().team();
        String model = body.model();
        String prompt = body.prompt();
        int maxTokens = body.maxTokens() == 0 ? DEFAULT_MAX_TOKENS : body.maxTokens();
        long deadlineMillis = body.deadlineMs() == 0 ? DEFAULT_DEADLINE_MS : body.deadlineMs();
        if (model == null || prompt == null) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "model and prompt are required", requestId);
        } else if (maxTokens < 1 || maxTokens > MAX_TOKENS) {
            refuse(
                    exchange,
                    RefusalCode.BAD_REQUEST,
                    "max_tokens is " + maxTokens + ", expected 1 to " + MAX_TOKENS,
                    requestId);
        } else if (deadlineMillis < 1 || deadlineMillis > MAX_DEADLINE_MS) {
            refuse(
                    exchange,
                    RefusalCode.BAD_REQUEST,
                    "deadline_ms is " + deadlineMillis + ", expected 1 to " + MAX_DEADLINE_MS,
                    requestId);
        } else if (body.team() != null && !body.team().equals(teamName)) {
            refuse(
                    exchange,
                    RefusalCode.NOT_ALLOWED,
                    "the credential does not belong to team \"" + body.team() + "\"",
                    requestId);
        } else {
            node.serving()
                    .serveCompletion(
                            new CompletionRequest(requestId, teamName, model, prompt, maxTokens, deadlineMillis),
                            new CompletionResponder(exchange, requestId, model, body.stream()));
        }
    }

    private void callService(HttpExchange exchange, String resource, String requestId) {
        Optional<TeamDocument> team = authenticate(exchange, requestId);
        if (team.isEmpty()) {
            return;
        }
        String[] parts = resource.split("/", -1);
        String key = exchange.header(IDEMPOTENCY_KEY_HEADER);
        if (parts.length != 2 || !isValidName(parts[0]) || !isValidName(parts[1])) {
            refuse(
                    exchange,
                    RefusalCode.BAD_REQUEST,
                    "path is \"" + exchange.path() + "\", expected /v1/services/{service}/{operation}",
                    requestId);
            return;
        }
        if (key.length() > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
            refuse(
                    exchange,
                    RefusalCode.BAD_REQUEST,
                    "Idempotency-Key has " + key.length() + " characters, at most " + MAX_IDEMPOTENCY_KEY_CHARACTERS
                            + " are allowed",
                    requestId);
            return;
        }
        String body = new String(exchange.body(), StandardCharsets.UTF_8);
        String teamName = team.get().template().team();
        ServiceCall call = new ServiceCall(requestId, teamName, parts[0], parts[1], key, body);
        node.serving().serveCall(call, new ServiceResponder(exchange, requestId));
    }

    private static boolean isValidName(String part) {
        return part.matches("[A-Za-z0-9._-]{1,64}");
    }

    /**
     * Checks the method and content type, then finds the team by its credential. Returns an empty value after it has
     * refused the request.
     */
    private Optional<TeamDocument> authenticate(HttpExchange exchange, String requestId) {
        if (!exchange.method().equals("POST")) {
            refuse(exchange, RefusalCode.BAD_REQUEST, "method is " + exchange.method() + ", expected POST", requestId);
            return Optional.empty();
        }
        String type = exchange.header("Content-Type").toLowerCase(Locale.ROOT);
        if (!type.startsWith("application/json")) {
            refuse(
                    exchange,
                    RefusalCode.BAD_REQUEST,
                    "Content-Type is \"" + type + "\", expected application/json",
                    requestId);
            return Optional.empty();
        }
        Optional<TeamDocument> team = node.configuration().teamByCredential(credentialHash(exchange));
        if (team.isEmpty()) {
            refuseUnknownCredential(exchange, requestId);
        }
        return team;
    }

    /**
     * Refuses a credential that is in no template. An inactive daemon may lack templates, so it says that it is not
     * active instead of calling the credential invalid.
     */
    private void refuseUnknownCredential(HttpExchange exchange, String requestId) {
        if (node.membership().isActive()) {
            refuse(exchange, RefusalCode.NO_CREDENTIAL, "a valid bearer credential of a team is required", requestId);
        } else {
            refuseBeforeKeyLookup(
                    exchange,
                    Refusal.notRun(
                            RefusalCode.NOT_IN_STANDING, "this entry VM is not active and may lack templates", 1_000),
                    requestId);
        }
    }

    private static String credentialHash(HttpExchange exchange) {
        String header = exchange.header("Authorization");
        return header.startsWith("Bearer ") ? Fingerprint.ofCredential(header.substring("Bearer ".length())) : "";
    }

    private static void refuse(HttpExchange exchange, RefusalCode code, String detail, String requestId) {
        refuseBeforeKeyLookup(exchange, Refusal.notRun(code, detail, 0), requestId);
    }

    /**
     * Refuses a request whose idempotency key was not looked up. Only service calls have one; with a key the outcome is
     * unknown, since an earlier request with the same key may have run.
     */
    private static void refuseBeforeKeyLookup(HttpExchange exchange, Refusal refusal, String requestId) {
        String key = exchange.path().startsWith(SERVICES_PREFIX) ? exchange.header(IDEMPOTENCY_KEY_HEADER) : "";
        Problems.respond(exchange, refusal.withIdempotencyKey(key), requestId);
    }

    private record Health(String status) {}

    private record ServiceResponder(HttpExchange exchange, String requestId) implements ServiceSink {
        @Override
        public void onAnswer(int status, String body, boolean replayed) {
            Map<String, String> headers = replayed
                    ? Map.of("X-Request-Id", requestId, "Idempotent-Replayed", "true")
                    : Map.of("X-Request-Id", requestId);
            exchange.respond(status, "application/json", body.getBytes(StandardCharsets.UTF_8), headers);
        }

        @Override
        public void onRefused(Refusal refusal) {
            Problems.respond(exchange, refusal, requestId);
        }
    }
}
