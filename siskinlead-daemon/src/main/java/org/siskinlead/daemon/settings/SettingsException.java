package org.siskinlead.daemon.settings;

import java.util.List;

/** Thrown for invalid settings; lists every error found, or only the parser's error if parsing the flags fails. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> errors;

    private SettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /**
     * Creates an exception whose message has one line per error.
     * @param errors error messages; for an invalid value with the flag, the value unless secret, and what is expected
     * @return the exception
     */
    public static SettingsException of(List<String> errors) {
        return new SettingsException(errors);
    }

    /**
     * Lists the errors.
     * @return one message per error
     */
    public List<String> errors() {
        return errors;
    }
}
