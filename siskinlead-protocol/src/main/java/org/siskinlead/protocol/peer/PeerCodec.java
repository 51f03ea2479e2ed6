package org.siskinlead.protocol.peer;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import java.io.IOException;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.siskinlead.core.peer.PeerMessage;
import org.siskinlead.protocol.json.ProtocolException;

/** Encodes and decodes frames between daemons as MessagePack. */
public final class PeerCodec {
    /** Maximum size of a frame, with its length prefix, in bytes. */
    public static final int MAX_FRAME_BYTES = 2_000_000;

    private static final ObjectMapper MAPPER = createMapper();

    private PeerCodec() {}

    /**
     * Encodes a frame.
     * @param frame message with its key and send time
     * @return its bytes, without the length prefix
     * @throws ProtocolException if the frame cannot be serialized
     */
    public static byte[] encode(PeerFrame frame) {
        try {
            return MAPPER.writeValueAsBytes(frame);
        } catch (JsonProcessingException e) {
            throw ProtocolException.of(
                    ProtocolException.Code.NOT_SERIALIZABLE,
                    "cannot encode peer frame with "
                            + frame.message().getClass().getSimpleName(),
                    e);
        }
    }

    /**
     * Decodes a frame.
     * @param bytes bytes without the length prefix
     * @return the frame; its key is not checked
     * @throws ProtocolException if the bytes are not a frame or a part of it is missing
     */
    public static PeerFrame decode(byte[] bytes) {
        try {
            PeerFrame frame = MAPPER.readValue(bytes, PeerFrame.class);
            if (frame == null || frame.message() == null || frame.key() == null || frame.time() == null) {
                throw ProtocolException.of(
                        ProtocolException.Code.MALFORMED, "peer frame lacks its key, time or message", null);
            }
            return frame;
        } catch (IOException | MessagePackException e) {
            throw malformed(bytes, e);
        }
    }

    /**
     * Reads the key of a frame without decoding its message; it is the first field.
     * @param bytes bytes without the length prefix
     * @return the key
     * @throws ProtocolException if the bytes do not begin as a frame does
     */
    public static String readKey(byte[] bytes) {
        try (JsonParser parser = MAPPER.createParser(bytes)) {
            if (parser.nextToken() == JsonToken.START_OBJECT && "key".equals(parser.nextFieldName())) {
                String key = parser.nextTextValue();
                if (key != null) {
                    return key;
                }
            }
        } catch (IOException | MessagePackException e) {
            throw malformed(bytes, e);
        }
        throw malformed(bytes, null);
    }

    private static ProtocolException malformed(byte[] bytes, @Nullable Exception cause) {
        return ProtocolException.of(
                ProtocolException.Code.MALFORMED, "cannot decode peer frame of " + bytes.length + " bytes", cause);
    }

    private static ObjectMapper createMapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.addMixIn(PeerMessage.class, PeerMessageMixIn.class);
        for (Class<?> type : PeerMessage.class.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(type, type.getSimpleName()));
        }
        return mapper;
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface PeerMessageMixIn {}
}
