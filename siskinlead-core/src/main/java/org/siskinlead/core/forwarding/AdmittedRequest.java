package org.siskinlead.core.forwarding;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.crash.Suspect;
import org.siskinlead.core.serving.Fingerprint;
import org.siskinlead.core.time.Timers;

/**
 * A request that was admitted for forwarding. Times are in milliseconds of the monotonic clock.
 * @param request the request as received
 * @param route route that matches the request
 * @param service service chosen from the route
 * @param team team of the caller, empty when the route requires no key
 * @param priority priority, 0 is served first
 * @param receivedAt time at which the request was received
 * @param deadlineAt time at which the response is due: the earlier of the caller's and the route's timeout
 * @param callerTimeoutAt time at which the caller stops waiting
 * @param role whether the request is blocked, and sent only to find out if it still has to be
 * @param drainEstimate judgement by which it was accepted while this daemon drains; null before
 */
record AdmittedRequest(
        IncomingRequest request,
        Route route,
        Service service,
        String team,
        int priority,
        long receivedAt,
        long deadlineAt,
        long callerTimeoutAt,
        Role role,
        @Nullable DrainEstimate drainEstimate) {
    /** Role of a request. */
    enum Role {
        ORDINARY,
        TRIAL
    }

    /** Pause after which callers abandon a stream: the longest of this time and the two multiples below. */
    private static final long MIN_CALLER_PATIENCE_MS = 2_000;

    private static final long CALLER_PATIENCE_LATENCY_OBJECTIVES = 4;
    private static final long CALLER_PATIENCE_GAP_OBJECTIVES = 8;
    /** Longest answer in tokens, assumed when the caller gives no maximum. */
    private static final int DEFAULT_MAX_ANSWER_TOKENS = 250;
    /** Answer length in tokens, assumed for a service without an engine when the caller gives no estimate. */
    private static final int DEFAULT_ANSWER_TOKENS = 256;

    long remainingMillis(Timers timers) {
        return callerTimeoutAt - timers.nowMillis();
    }

    /** Estimates the tokens, prompt and answer, that the request will occupy in the memory of each layer at its end. */
    double expectedTokens() {
        EngineSpec engine = service.engine();
        int defaultAnswerTokens = engine == null ? DEFAULT_ANSWER_TOKENS : engine.meanAnswerTokens();
        int expected = request.expectedAnswerTokens() > 0 ? request.expectedAnswerTokens() : defaultAnswerTokens;
        int answer = request.maxAnswerTokens() > 0 ? Math.min(expected, request.maxAnswerTokens()) : expected;
        return request.promptTokens() + (double) answer;
    }

    /** Gets the maximum number of tokens of the answer. */
    int maxAnswerTokens() {
        return request.maxAnswerTokens() > 0 ? request.maxAnswerTokens() : DEFAULT_MAX_ANSWER_TOKENS;
    }

    /** Gets the longest pause between events for which a stream is on time, in milliseconds. */
    long eventGapObjectiveMillis() {
        return route.eventGapObjectiveMillis() > 0 ? route.eventGapObjectiveMillis() : route.latencyObjectiveMillis();
    }

    /** Gets the pause between events after which the caller abandons a stream, in milliseconds. */
    long callerPatienceMillis() {
        long objectivesMillis = Math.max(
                CALLER_PATIENCE_LATENCY_OBJECTIVES * route.latencyObjectiveMillis(),
                CALLER_PATIENCE_GAP_OBJECTIVES * route.eventGapObjectiveMillis());
        return Math.max(MIN_CALLER_PATIENCE_MS, objectivesMillis);
    }

    AdmittedRequest asTrial() {
        return new AdmittedRequest(
                request,
                route,
                service,
                team,
                priority,
                receivedAt,
                deadlineAt,
                callerTimeoutAt,
                Role.TRIAL,
                drainEstimate);
    }

    AdmittedRequest withDrainEstimate(DrainEstimate estimate) {
        return new AdmittedRequest(
                request, route, service, team, priority, receivedAt, deadlineAt, callerTimeoutAt, role, estimate);
    }

    boolean isTrial() {
        return role == Role.TRIAL;
    }

    /** Gets the traits that the request shares with others. */
    Set<String> parts() {
        return request.sharedPromptParts().stream().map(Suspect::part).collect(Collectors.toSet());
    }

    /** Gets everything about the request that may be why it crashes targets. */
    Set<String> traits() {
        Set<String> traits = new HashSet<>(parts());
        traits.add(Suspect.request(fingerprint()));
        return traits;
    }

    /** Computes a hash that stays the same when the caller repeats the request. */
    String fingerprint() {
        return Fingerprint.of(
                request.method(),
                request.uri(),
                team,
                new String(request.body(), java.nio.charset.StandardCharsets.ISO_8859_1));
    }
}
