package org.siskinlead.protocol.json;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/**
 * Reads and writes JSON. Ignores unknown fields; content after the value is an error. Trees, and values that consist of
 * maps, lists, texts and numbers, are read and written without data binding, whose set-up takes a tenth of the processor
 * time of a start.
 */
public final class Json {
    private Json() {}

    /** Set up when a value is first bound to a type. */
    private static final class Binding {
        private static final ObjectMapper MAPPER = JsonMapper.builder()
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
                .build();
    }

    /**
     * Serializes a value.
     * @param value record, map or other type that Jackson maps
     * @return its JSON in UTF-8
     * @throws ProtocolException if the value cannot be serialized
     */
    public static byte[] write(Object value) {
        try {
            return JsonTrees.isPlain(value) ? JsonTrees.write(value) : Binding.MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw ProtocolException.of(
                    ProtocolException.Code.NOT_SERIALIZABLE,
                    "cannot serialize " + value.getClass().getSimpleName(),
                    e);
        }
    }

    /**
     * Serializes a value to a string.
     * @param value record, map or other type that Jackson maps
     * @return its JSON
     * @throws ProtocolException if the value cannot be serialized
     */
    public static String writeAsString(Object value) {
        return new String(write(value), java.nio.charset.StandardCharsets.UTF_8);
    }

    /**
     * Parses a value as a tree.
     * @param json JSON in UTF-8
     * @return root of the tree; of equal field names in an object, the last counts
     * @throws ProtocolException if the JSON is malformed
     */
    public static JsonNode readTree(byte[] json) {
        try {
            return JsonTrees.read(json);
        } catch (IOException e) {
            throw ProtocolException.of(ProtocolException.Code.MALFORMED, "cannot parse a tree from JSON", e);
        }
    }

    /**
     * Parses a value.
     * @param json JSON in UTF-8
     * @param type type to parse as
     * @param <T> type of the value
     * @return the value, never null
     * @throws ProtocolException if the JSON is malformed, is {@code null} or does not match the type
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            T value = Binding.MAPPER.readValue(json, type);
            if (value == null) {
                throw ProtocolException.of(
                        ProtocolException.Code.MALFORMED, "found JSON null instead of " + type.getSimpleName(), null);
            }
            return value;
        } catch (IOException e) {
            throw ProtocolException.of(
                    ProtocolException.Code.MALFORMED, "cannot parse " + type.getSimpleName() + " from JSON", e);
        }
    }
}
