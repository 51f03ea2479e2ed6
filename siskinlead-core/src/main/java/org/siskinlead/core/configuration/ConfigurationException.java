package org.siskinlead.core.configuration;

/** Signals that a template or vote was rejected. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Reason why a template or vote was rejected. */
    public enum Code {
        INVALID_TEMPLATE,
        INVALID_VOTE,
        REVISION_CONFLICT,
        UNKNOWN_TEAM
    }

    private final Code code;

    private ConfigurationException(Code code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an exception.
     * @param code reason of the rejection
     * @param message what was wrong, in which team, and the offending value
     * @return the exception
     */
    public static ConfigurationException of(Code code, String message) {
        return new ConfigurationException(code, message);
    }

    /**
     * Gets the reason of the rejection.
     * @return the code
     */
    public Code code() {
        return code;
    }
}
