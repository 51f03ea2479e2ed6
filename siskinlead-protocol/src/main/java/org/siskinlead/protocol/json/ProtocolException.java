package org.siskinlead.protocol.json;

import org.jspecify.annotations.Nullable;

/** Thrown when a message cannot be serialized or parsed. */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Kind of failure. */
    public enum Code {
        /** The input cannot be parsed, or a required part of it is missing. */
        MALFORMED,
        /** The value cannot be serialized. */
        NOT_SERIALIZABLE
    }

    private final Code code;

    private ProtocolException(Code code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Creates an exception.
     * @param code kind of failure
     * @param message what failed, and on which type or value
     * @param cause underlying error, or null
     * @return the exception
     */
    public static ProtocolException of(Code code, String message, @Nullable Throwable cause) {
        return new ProtocolException(code, message, cause);
    }

    /**
     * Gets the kind of failure.
     * @return the code
     */
    public Code code() {
        return code;
    }
}
