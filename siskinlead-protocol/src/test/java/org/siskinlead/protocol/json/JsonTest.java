package org.siskinlead.protocol.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that values read and written without data binding are the same as with it. */
class JsonTest {
    private static final List<String> VALID = List.of(
            "{}",
            "[]",
            "null",
            "true",
            "\"a\\u00e9\\n\"",
            "-0",
            "1.5e300",
            "9223372036854775807",
            "92233720368547758070",
            "{\"a\":1,\"a\":[2,{\"b\":null}],\"c\":{\"d\":[[],{}],\"e\":0.1},\"f\":false}",
            "[".repeat(900) + "]".repeat(900));
    private static final List<String> INVALID =
            List.of("", " ", "{", "[1", "{}x", "{} {}", "{\"a\"}", "[1,]", "nul", "NaN", "]", "[".repeat(5_000), "\"a");

    @Test
    void readsTheSameTreeAsDataBinding() {
        for (String json : VALID) {
            assertThat(Json.readTree(bytes(json))).isEqualTo(Json.read(bytes(json), JsonNode.class));
        }
    }

    @Test
    void refusesTheSameTextsAsDataBinding() {
        for (String json : INVALID) {
            assertThrows(ProtocolException.class, () -> Json.read(bytes(json), JsonNode.class), json);
            assertThrows(ProtocolException.class, () -> Json.readTree(bytes(json)), json);
        }
    }

    @Test
    void writesPlainValuesAsDataBindingDoes() {
        Map<String, Object> value = new LinkedHashMap<>();
        value.put("text", "a\u00e9\"\n\u0001/\uD83D\uDE00");
        value.put("numbers", List.of(1, -5L, 0.1, 1e300, Double.NaN, Long.MAX_VALUE));
        value.put("nested", Map.of("list", List.of(), "map", Map.of(), "flag", true));

        assertThat(Json.writeAsString(value))
                .isEqualTo(Json.writeAsString(new Holder(value)).replaceAll("^\\{\"value\":|}$", ""));
    }

    /** Forces data binding, which alone writes records. */
    private record Holder(Map<String, Object> value) {}

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
