package org.siskinlead.cli;

import org.jspecify.annotations.Nullable;

/** Failure of a command, with its exit code. */
final class CliException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    private CliException(ExitCode code, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.exitCode = code;
    }

    static CliException of(ExitCode code, String message) {
        return new CliException(code, message, null);
    }

    static CliException of(ExitCode code, String message, Throwable cause) {
        return new CliException(code, message, cause);
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
