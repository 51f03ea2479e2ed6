package org.siskinlead.core.forwarding;

import org.siskinlead.core.catalog.EngineSpec;
import org.siskinlead.core.catalog.Route;
import org.siskinlead.core.catalog.Service;
import org.siskinlead.core.serving.Fingerprint;
import org.siskinlead.core.time.Timers;

/**
 * A request that may be forwarded.
 * @param request the request
 * @param route its route
 * @param service service that was drawn for it
 * @param team team of the caller, empty when no key was asked for
 * @param priority its rank, 0 is served first
 * @param receivedAt when it came in, in steady milliseconds
 * @param deadlineAt when its final answer is due, in steady milliseconds
 * @param callerTimeoutAt when its caller stops waiting, in steady milliseconds
 */
record AdmittedRequest(
        IncomingRequest request,
        Route route,
        Service service,
        String team,
        int priority,
        long receivedAt,
        long deadlineAt,
        long callerTimeoutAt) {
    /** Answer assumed for a request that does not say its size, in tokens. */
    private static final int DEFAULT_ANSWER_TOKENS = 256;

    long remainingMillis(Timers timers) {
        return callerTimeoutAt - timers.nowMillis();
    }

    /** Tokens that the request is expected to hold in the memory of each layer when it ends. */
    double expectedTokens() {
        EngineSpec engine = service.engine();
        int usual = engine == null ? DEFAULT_ANSWER_TOKENS : engine.usualAnswer();
        int expected = request.expectedAnswerTokens() > 0 ? request.expectedAnswerTokens() : usual;
        int answer = request.maxAnswerTokens() > 0 ? Math.min(expected, request.maxAnswerTokens()) : expected;
        return request.promptTokens() + (double) answer;
    }

    /** Identifies the request over the attempts of its caller. */
    String fingerprint() {
        return Fingerprint.of(
                request.method(),
                request.uri(),
                team,
                new String(request.body(), java.nio.charset.StandardCharsets.ISO_8859_1));
    }
}
