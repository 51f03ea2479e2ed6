package org.siskinlead.protocol.json;

import org.jspecify.annotations.Nullable;

/** Failure to read or write a message. */
public final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** What failed. */
    public enum Code {
        MALFORMED,
        NOT_SERIALIZABLE
    }

    private final Code code;

    private ProtocolException(Code code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Creates an error.
     * @param code what failed
     * @param message what, where and the value
     * @param cause error from below, if any
     * @return the error
     */
    public static ProtocolException of(Code code, String message, @Nullable Throwable cause) {
        return new ProtocolException(code, message, cause);
    }

    /**
     * Gets what failed.
     * @return the code
     */
    public Code code() {
        return code;
    }
}
