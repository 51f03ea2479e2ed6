package org.siskinlead.daemon.settings;

import java.util.List;

/** Settings that cannot be used; names every fault at once. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> errors;

    private SettingsException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = List.copyOf(errors);
    }

    /**
     * Creates an error.
     * @param errors each with flag, value and what is expected
     * @return the error
     */
    public static SettingsException of(List<String> errors) {
        return new SettingsException(errors);
    }

    /**
     * Lists the faults.
     * @return one line each
     */
    public List<String> errors() {
        return errors;
    }
}
