package org.siskinlead.daemon.settings;

import java.util.List;

/** Thrown for invalid settings; lists every error found. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> errors;

    private SettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /**
     * Creates an exception whose message has one line per error.
     * @param errors error messages, each with the setting, its value and what is expected
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
