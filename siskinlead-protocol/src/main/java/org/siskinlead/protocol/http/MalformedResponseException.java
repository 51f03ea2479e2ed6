package org.siskinlead.protocol.http;

import io.netty.handler.codec.DecoderException;

/** Thrown for bytes that are no HTTP response. */
public final class MalformedResponseException extends DecoderException {
    private static final long serialVersionUID = 1;
    private static final int MAX_QUOTED_BYTES = 60;
    private static final int FIRST_PRINTABLE = 0x20;
    private static final int LAST_PRINTABLE = 0x7e;

    private final Defect defect;

    /** What is wrong with a response. */
    public enum Defect {
        /** The first line is no status line, or its version is none that is spoken here. */
        STATUS_LINE,
        /** The status is no number of three digits from 100. */
        STATUS,
        /** A field has no name, or one with other characters than a token has. */
        FIELD_NAME,
        /** The value of a field has a control character. */
        FIELD_VALUE,
        /** The length of the body, or its transfer coding, cannot be understood. */
        FRAMING,
        /** A chunk of the body has no size, or is longer than that. */
        CHUNK,
        /** A line is longer than any that a response has. */
        TOO_LONG,
        /** The codec could not decode the response for another reason. */
        OTHER
    }

    private MalformedResponseException(Defect defect, String message) {
        super(message);
        this.defect = defect;
    }

    /**
     * Creates an exception that quotes the line.
     * @param defect what is wrong
     * @param line the line as it was received
     * @param length number of its bytes
     * @return the exception
     */
    static MalformedResponseException of(Defect defect, byte[] line, int length) {
        return new MalformedResponseException(defect, defect + " in \"" + quote(line, length) + "\"");
    }

    /**
     * Gets what is wrong with the response.
     * @return the defect
     */
    public Defect defect() {
        return defect;
    }

    /** Escapes all bytes but printable ASCII, and cuts long lines. */
    private static String quote(byte[] line, int length) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < Math.min(length, MAX_QUOTED_BYTES); i++) {
            int value = line[i] & 0xff;
            if (value < FIRST_PRINTABLE || value > LAST_PRINTABLE || value == '"' || value == '\\') {
                text.append(String.format("\\x%02x", value));
            } else {
                text.append((char) value);
            }
        }
        return length > MAX_QUOTED_BYTES ? text + "..." : text.toString();
    }
}
