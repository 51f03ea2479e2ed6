package org.siskinlead.cli;

import org.jspecify.annotations.Nullable;

/** Failure of a command, with its exit code. */
final class CliException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    private CliException(ExitCode exitCode, String message, @Nullable Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    static CliException of(ExitCode exitCode, String message) {
        return new CliException(exitCode, message, null);
    }

    static CliException of(ExitCode exitCode, String message, Throwable cause) {
        return new CliException(exitCode, message, cause);
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
