package org.siskinlead.daemon.targets;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.siskinlead.core.placement.Order;
import org.siskinlead.core.placement.OrderSender;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.routing.Target;
import org.siskinlead.core.serving.ServiceCall;
import org.siskinlead.core.serving.ServiceResult;
import org.siskinlead.core.serving.Step;
import org.siskinlead.core.serving.StepResult;
import org.siskinlead.core.serving.TargetTransport;
import org.siskinlead.daemon.loop.DecisionLoop;
import org.siskinlead.protocol.engine.CancelBody;
import org.siskinlead.protocol.engine.EngineReport;
import org.siskinlead.protocol.engine.OrderBody;
import org.siskinlead.protocol.engine.StepAnswerBody;
import org.siskinlead.protocol.engine.StepBody;
import org.siskinlead.protocol.http.Addresses;
import org.siskinlead.protocol.http.HttpClient;
import org.siskinlead.protocol.http.HttpClient.Result;
import org.siskinlead.protocol.http.HttpClient.Reuse;
import org.siskinlead.protocol.json.Json;
import org.siskinlead.protocol.json.ProtocolException;

/** Calls model engines and plain services over HTTP; results go to the decision thread, those of cancel are ignored. */
public final class TargetClient implements TargetTransport, OrderSender {
    private static final Logger LOG = LogManager.getLogger(TargetClient.class);
    private static final long REPORT_TIMEOUT_MS = 400;
    private static final long CANCEL_TIMEOUT_MS = 400;
    private static final long ORDER_TIMEOUT_MS = 2_000;
    private static final int OK = 200;
    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient http;
    private final DecisionLoop loop;
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    private TargetClient(HttpClient http, DecisionLoop loop) {
        this.http = http;
        this.loop = loop;
    }

    /**
     * Creates a client.
     * @param http HTTP client
     * @param loop decision thread
     * @return the client
     */
    public static TargetClient of(HttpClient http, DecisionLoop loop) {
        return new TargetClient(http, loop);
    }

    @Override
    public void step(Target target, Step step, long timeoutMillis, Consumer<StepResult> onResult) {
        StepBody body = new StepBody(
                step.request(),
                step.attempt(),
                step.position(),
                step.model().model(),
                step.model().version(),
                step.layers().from(),
                step.layers().to(),
                step.prefill(),
                step.input(),
                step.priority());
        sendAndDecode(
                parseAddress(target.address()),
                "POST",
                "/v1/step",
                Map.of(),
                Json.write(body),
                timeoutMillis,
                Reuse.POOLED,
                TargetClient::toStepResult,
                onResult);
    }

    @Override
    public void cancel(Target target, String request, int attempt) {
        http.send(
                parseAddress(target.address()),
                "POST",
                "/v1/cancel",
                Map.of(),
                Json.write(new CancelBody(request, attempt)),
                CANCEL_TIMEOUT_MS,
                Reuse.POOLED,
                result -> {});
    }

    @Override
    public void probe(Target target, Consumer<Liveness> onLiveness) {
        sendAndDecode(
                parseAddress(target.address()),
                "GET",
                "/v1/report",
                Map.of(),
                NO_BODY,
                REPORT_TIMEOUT_MS,
                Reuse.FRESH,
                result -> toLiveness(target, result),
                onLiveness);
    }

    @Override
    public void call(VmEntry vm, ServiceCall call, long timeoutMillis, Consumer<ServiceResult> onResult) {
        Map<String, String> headers = call.key().isEmpty()
                ? Map.of("X-Request-Id", call.request())
                : Map.of("X-Request-Id", call.request(), "Idempotency-Key", call.team() + "/" + call.key());
        sendAndDecode(
                parseAddress(vm.address()),
                "POST",
                "/" + call.operation(),
                headers,
                call.body().getBytes(StandardCharsets.UTF_8),
                timeoutMillis,
                Reuse.FRESH,
                TargetClient::toServiceResult,
                onResult);
    }

    @Override
    public void send(Order order, Consumer<Answer> onAnswer) {
        OrderBody body = new OrderBody(
                order.fencingToken(),
                order.model().model(),
                order.model().version(),
                order.layers().from(),
                order.layers().to());
        sendAndDecode(
                parseAddress(order.target().address()),
                "POST",
                "/v1/order",
                Map.of(),
                Json.write(body),
                ORDER_TIMEOUT_MS,
                Reuse.FRESH,
                TargetClient::toOrderAnswer,
                onAnswer);
    }

    /**
     * Requests an engine's report.
     * @param vm VM of the engine
     * @param onReport receives the reported target on the decision thread; not called when the request fails
     */
    public void requestReport(VmEntry vm, Consumer<Target> onReport) {
        http.send(
                parseAddress(vm.address()),
                "GET",
                "/v1/report",
                Map.of(),
                NO_BODY,
                REPORT_TIMEOUT_MS,
                Reuse.POOLED,
                result -> {
                    if (result.failure() == null && result.status() == OK) {
                        decodeReport(vm, result.body(), onReport);
                    }
                });
    }

    /** Sends a request and delivers the decoded result on the decision thread. */
    private <T> void sendAndDecode(
            InetSocketAddress address,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            Reuse reuse,
            Function<Result, T> decoder,
            Consumer<T> onResult) {
        http.send(address, method, uri, headers, body, timeoutMillis, reuse, result -> {
            T decoded = decoder.apply(result);
            loop.publish(() -> onResult.accept(decoded));
        });
    }

    private void decodeReport(VmEntry vm, byte[] body, Consumer<Target> onReport) {
        try {
            EngineReport report = Json.read(body, EngineReport.class);
            Target target = toTarget(vm, report);
            loop.publish(() -> onReport.accept(target));
        } catch (ProtocolException | IllegalArgumentException e) {
            LOG.warn("cannot decode the report of target \"{}\"", vm.id(), e);
        }
    }

    private static Target toTarget(VmEntry vm, EngineReport report) {
        return new Target(
                vm.id(),
                report.incarnation(),
                vm.address(),
                vm.dataCentre(),
                report.kind(),
                report.model(),
                report.version(),
                new LayerRange(report.from(), report.to()),
                report.totalLayers(),
                report.tokensPerSecond(),
                report.running(),
                report.leaving());
    }

    private static StepResult toStepResult(Result result) {
        HttpClient.Failure failure = result.failure();
        if (failure != null) {
            return switch (failure) {
                case REFUSED, UNREACHABLE -> new StepResult.NotSent();
                case BROKEN, TOO_LONG -> new StepResult.ConnectionLost();
                case TIMED_OUT -> new StepResult.TimedOut();
            };
        }
        if (result.status() != OK) {
            return new StepResult.Declined("status " + result.status());
        }
        try {
            StepAnswerBody answer = Json.read(result.body(), StepAnswerBody.class);
            return new StepResult.Answered(
                    answer.request(),
                    answer.attempt(),
                    answer.position(),
                    answer.version(),
                    new LayerRange(answer.from(), answer.to()),
                    answer.output());
        } catch (ProtocolException | IllegalArgumentException e) {
            LOG.warn("cannot decode the step response of an engine", e);
            return new StepResult.ConnectionLost();
        }
    }

    private static Answer toOrderAnswer(Result result) {
        if (result.failure() != null) {
            return Answer.LOST;
        }
        return result.status() == OK ? Answer.TAKEN : Answer.REFUSED;
    }

    private static ServiceResult toServiceResult(Result result) {
        HttpClient.Failure failure = result.failure();
        if (failure == null) {
            return new ServiceResult.Answered(result.status(), new String(result.body(), StandardCharsets.UTF_8));
        }
        boolean neverSent = failure == HttpClient.Failure.REFUSED || failure == HttpClient.Failure.UNREACHABLE;
        return neverSent ? new ServiceResult.NotSent() : new ServiceResult.NoAnswer();
    }

    private static Liveness toLiveness(Target target, Result result) {
        if (result.failure() == HttpClient.Failure.REFUSED) {
            return Liveness.DEAD;
        }
        if (result.failure() != null || result.status() != OK) {
            return Liveness.SILENT;
        }
        try {
            long incarnation = Json.read(result.body(), EngineReport.class).incarnation();
            return incarnation == target.incarnation() ? Liveness.ALIVE : Liveness.DEAD;
        } catch (ProtocolException e) {
            LOG.warn("cannot decode the report of target \"{}\"", target.id(), e);
            return Liveness.SILENT;
        }
    }

    private InetSocketAddress parseAddress(String address) {
        return addresses.computeIfAbsent(address, Addresses::parse);
    }
}
