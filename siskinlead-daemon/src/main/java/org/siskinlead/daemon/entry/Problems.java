package org.siskinlead.daemon.entry;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.siskinlead.core.serving.Refusal;
import org.siskinlead.core.serving.RefusalCode;
import org.siskinlead.protocol.caller.Problem;
import org.siskinlead.protocol.http.HttpExchange;
import org.siskinlead.protocol.json.Json;

/** Writes refusals as problem details (RFC 9457). */
final class Problems {
    private static final String MEDIA_TYPE = "application/problem+json";
    private static final long MS_PER_SECOND = 1_000;

    private Problems() {}

    static void respond(HttpExchange exchange, Refusal refusal, String requestId) {
        Map<String, String> headers = new LinkedHashMap<>();
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MS_PER_SECOND - 1) / MS_PER_SECOND;
            headers.put("Retry-After", Long.toString(seconds));
        }
        if (refusal.code() == RefusalCode.NO_CREDENTIAL) {
            headers.put("WWW-Authenticate", "Bearer");
        }
        exchange.respond(refusal.code().status(), MEDIA_TYPE, Json.write(problem(refusal, requestId)), headers);
    }

    static Problem problem(Refusal refusal, String requestId) {
        String code = refusal.code().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return new Problem(
                "urn:siskinlead:" + code,
                code.replace('-', ' '),
                refusal.code().status(),
                refusal.detail(),
                code,
                refusal.outcome().text(),
                refusal.retryAfterMillis(),
                requestId);
    }
}
