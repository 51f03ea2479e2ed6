package org.siskinlead.protocol.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Reads trees and writes plain values with Jackson's streaming parser and generator. */
final class JsonTrees {
    private static final JsonFactory FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    static JsonNode read(byte[] json) throws IOException {
        try (JsonParser parser = FACTORY.createParser(json)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                throw new JsonParseException(parser, "no content");
            }
            JsonNode root = readValue(parser, first);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "content after the value");
            }
            return root;
        }
    }

    /** Reads the value at a token. Does not recurse: the parser admits 1,000 levels, more than a small stack holds. */
    private static JsonNode readValue(JsonParser parser, JsonToken first) throws IOException {
        if (!first.isStructStart()) {
            return scalar(parser, first);
        }
        JsonNode root = container(first);
        Deque<JsonNode> open = new ArrayDeque<>();
        open.push(root);
        String name = "";
        while (!open.isEmpty()) {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new JsonParseException(parser, "unexpected end of the input");
            } else if (token == JsonToken.FIELD_NAME) {
                name = parser.currentName();
            } else if (token.isStructEnd()) {
                open.pop();
            } else {
                JsonNode value = token.isStructStart() ? container(token) : scalar(parser, token);
                add(open.element(), name, value);
                if (token.isStructStart()) {
                    open.push(value);
                }
            }
        }
        return root;
    }

    private static JsonNode container(JsonToken start) {
        return start == JsonToken.START_OBJECT ? NODES.objectNode() : NODES.arrayNode();
    }

    private static void add(JsonNode container, String name, JsonNode value) {
        if (container instanceof ObjectNode object) {
            object.set(name, value);
        } else {
            ((ArrayNode) container).add(value);
        }
    }

    private static JsonNode scalar(JsonParser parser, JsonToken token) throws IOException {
        if (token == JsonToken.VALUE_STRING) {
            return NODES.textNode(parser.getText());
        } else if (token == JsonToken.VALUE_NUMBER_INT) {
            return integer(parser);
        } else if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            return NODES.numberNode(parser.getDoubleValue());
        } else if (token == JsonToken.VALUE_NULL) {
            return NODES.nullNode();
        }
        return NODES.booleanNode(token == JsonToken.VALUE_TRUE);
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        JsonParser.NumberType type = parser.getNumberType();
        if (type == JsonParser.NumberType.INT) {
            return NODES.numberNode(parser.getIntValue());
        }
        return type == JsonParser.NumberType.LONG
                ? NODES.numberNode(parser.getLongValue())
                : NODES.numberNode(parser.getBigIntegerValue());
    }

    /** Tells whether {@link #write} can write a value. */
    static boolean isPlain(@Nullable Object value) {
        if (value instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                if (!(entry.getKey() instanceof String) || !isPlain(entry.getValue())) {
                    return false;
                }
            }
            return true;
        }
        if (value instanceof List<?> list) {
            for (Object element : list) {
                if (!isPlain(element)) {
                    return false;
                }
            }
            return true;
        }
        return value instanceof String
                || value instanceof Integer
                || value instanceof Long
                || value instanceof Double
                || value instanceof Boolean;
    }

    static byte[] write(Object value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            write(generator, value);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator generator, @Nullable Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            generator.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                generator.writeFieldName(String.valueOf(entry.getKey()));
                write(generator, entry.getValue());
            }
            generator.writeEndObject();
        } else if (value instanceof List<?> list) {
            generator.writeStartArray();
            for (Object element : list) {
                write(generator, element);
            }
            generator.writeEndArray();
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Integer number) {
            generator.writeNumber(number);
        } else if (value instanceof Long number) {
            generator.writeNumber(number);
        } else if (value instanceof Double number) {
            generator.writeNumber(number);
        } else {
            generator.writeBoolean(Boolean.TRUE.equals(value));
        }
    }
}
