package org.siskinlead.daemon.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.siskinlead.core.configuration.Template;
import org.siskinlead.core.configuration.UpdateResult;
import org.siskinlead.core.configuration.Vote;
import org.siskinlead.core.membership.Member;
import org.siskinlead.core.node.Node;
import org.siskinlead.core.routing.ModelVersion;
import org.siskinlead.core.routing.Target;
import org.siskinlead.core.serving.ServingCounters;
import org.siskinlead.core.timeline.TimelineEvent;
import org.siskinlead.protocol.caller.DaemonStatus;
import org.siskinlead.protocol.caller.TemplateChange;
import org.siskinlead.protocol.caller.TimelineAnswer;
import org.siskinlead.protocol.http.HttpExchange;
import org.siskinlead.protocol.json.Json;

/** Handles requests for operator resources; every method runs on the decision thread. */
public final class OperatorEndpoints {
    private static final List<String> FILTERABLE_EVENT_FIELDS = List.of("request", "team", "target", "revision");

    private final Node node;
    private final MetricRegistry metrics;
    private final Runnable onDrain;

    private OperatorEndpoints(Node node, MetricRegistry metrics, Runnable onDrain) {
        this.node = node;
        this.metrics = metrics;
        this.onDrain = onDrain;
    }

    /**
     * Creates the endpoints.
     * @param node node that the resources show and change
     * @param metrics metrics of this daemon
     * @param onDrain starts a drain
     * @return the endpoints
     */
    public static OperatorEndpoints of(Node node, MetricRegistry metrics, Runnable onDrain) {
        return new OperatorEndpoints(node, metrics, onDrain);
    }

    /**
     * Handles a request.
     * @param exchange request of an authenticated operator
     * @param resource path below {@code /v1/operator/}
     * @return false when there is no such resource or it does not support the method
     */
    boolean handle(HttpExchange exchange, String resource) {
        switch (exchange.method() + " " + resource) {
            case "GET status" -> exchange.respond(200, status());
            case "GET teams" -> exchange.respond(200, node.configuration().teams());
            case "GET targets" -> exchange.respond(200, node.fleet().targets());
            case "GET members" -> exchange.respond(200, node.membership().head().members());
            case "GET metrics" -> exchange.respond(200, metricValues());
            case "GET timeline" -> exchange.respond(200, timeline(exchange));
            case "POST changes" -> applyChange(exchange);
            case "POST drain" -> {
                exchange.respond(200, status());
                onDrain.run();
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private DaemonStatus status() {
        Member self = node.membership().self();
        return new DaemonStatus(
                self.vm(),
                self.dataCentre(),
                node.membership().isActive(),
                node.draining(),
                node.membership().head().version(),
                node.configuration().revision(),
                node.membership().head().members().stream().map(Member::vm).toList(),
                node.fleet().targets().size(),
                node.fleet().suspected(),
                throughputBounds(),
                counters());
    }

    private Map<String, Double> throughputBounds() {
        Map<String, Double> throughputBounds = new TreeMap<>();
        for (Target target : node.fleet().targets()) {
            ModelVersion model = target.modelVersion();
            throughputBounds.computeIfAbsent(
                    model.model() + "@" + model.version(), m -> node.fleet().throughputBound(model));
        }
        return throughputBounds;
    }

    private Map<String, Long> counters() {
        ServingCounters counters = node.serving().counters();
        Map<String, Long> values = new LinkedHashMap<>();
        values.put("admitted", counters.admitted());
        values.put("completed", counters.completed());
        values.put("refused", counters.refused());
        values.put("in_flight", (long) node.serving().inFlight());
        values.put("tokens", counters.tokens());
        values.put("late_answers", counters.lateAnswers());
        values.put("crossed_answers", counters.mismatchedAnswers());
        values.put("invariants_checked", node.invariants().checked());
        values.put("invariants_violated", node.invariants().violated());
        return values;
    }

    private Map<String, Object> metricValues() {
        Map<String, Object> values = new TreeMap<>();
        counters().forEach((name, value) -> values.put("siskinlead." + name, value));
        for (Map.Entry<String, Gauge> gauge : metrics.getGauges().entrySet()) {
            values.put(gauge.getKey(), gauge.getValue().getValue());
        }
        return values;
    }

    private TimelineAnswer timeline(HttpExchange exchange) {
        Predicate<TimelineEvent> filter = event -> true;
        for (String field : FILTERABLE_EVENT_FIELDS) {
            String expected = exchange.query(field, "");
            if (!expected.isEmpty()) {
                filter = filter.and(event -> expected.equals(event.fields().get(field)));
            }
        }
        String kind = exchange.query("kind", "");
        if (!kind.isEmpty()) {
            filter = filter.and(event -> event.kind().name().equalsIgnoreCase(kind));
        }
        return new TimelineAnswer(
                node.membership().self().vm(),
                node.timeline().dropped(),
                node.timeline().list(filter));
    }

    private void applyChange(HttpExchange exchange) {
        TemplateChange change = Json.read(exchange.body(), TemplateChange.class);
        Template template = change.template();
        Vote vote = change.vote();
        List<String> missing = change.missingFields();
        if (!missing.isEmpty()) {
            answer(
                    exchange,
                    new UpdateResult(UpdateResult.State.REJECTED, 0, "missing fields: " + String.join(", ", missing)));
        } else if (template != null && vote == null) {
            node.configuration().publish(template, change.expectedRevision(), result -> answer(exchange, result));
        } else if (vote != null && template == null) {
            node.configuration().vote(vote, result -> answer(exchange, result));
        } else {
            answer(
                    exchange,
                    new UpdateResult(UpdateResult.State.REJECTED, 0, "expected exactly one of template and vote"));
        }
    }

    private static void answer(HttpExchange exchange, UpdateResult result) {
        int status =
                switch (result.state()) {
                    case ACCEPTED -> 200;
                    case REJECTED -> 422;
                    case CONFLICT -> 409;
                    case UNAVAILABLE -> 503;
                    case UNKNOWN -> 202;
                };
        exchange.respond(status, result);
    }
}
