package org.siskinlead.protocol.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Reads and writes JSON. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
            .build();

    private Json() {}

    /**
     * Writes a value.
     * @param value the value
     * @return its JSON in UTF-8
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw ProtocolException.of(
                    ProtocolException.Code.NOT_SERIALIZABLE,
                    "cannot write " + value.getClass().getSimpleName(),
                    e);
        }
    }

    /**
     * Writes a value as text.
     * @param value the value
     * @return its JSON
     */
    public static String writeAsString(Object value) {
        return new String(write(value), java.nio.charset.StandardCharsets.UTF_8);
    }

    /**
     * Reads a value.
     * @param json JSON in UTF-8
     * @param type type of the value
     * @param <T> type of the value
     * @return the value
     * @throws ProtocolException when the JSON is malformed or does not fit
     */
    public static <T> T read(byte[] json, Class<T> type) {
        try {
            T value = MAPPER.readValue(json, type);
            if (value == null) {
                throw ProtocolException.of(
                        ProtocolException.Code.MALFORMED, "null in place of " + type.getSimpleName(), null);
            }
            return value;
        } catch (IOException e) {
            throw ProtocolException.of(
                    ProtocolException.Code.MALFORMED, "cannot read " + type.getSimpleName() + " from JSON", e);
        }
    }
}
