package org.siskinlead.protocol.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Reads and writes JSON. Ignores unknown fields; content after the value is an error. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
            .build();

    private Json() {}

    /**
     * Serializes a value.
     * @param value record, map or other type that Jackson maps
     * @return its JSON in UTF-8
     * @throws ProtocolException if the value cannot be serialized
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
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
     * Parses a value.
     * @param json JSON in UTF-8
     * @param type type to parse as
     * @param <T> type of the value
     * @return the value, never null
     * @throws ProtocolException if the JSON is malformed, is {@code null} or does not match the type
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            T value = MAPPER.readValue(json, type);
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
