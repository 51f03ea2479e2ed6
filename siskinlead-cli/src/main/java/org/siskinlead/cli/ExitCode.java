package org.siskinlead.cli;

/** Exit codes of {@code siskinleadctl}. */
enum ExitCode {
    /** Done. */
    OK(0),
    /** No daemon answered, or it could not do it now. */
    UNAVAILABLE(1),
    /** The command line is wrong. */
    USAGE_ERROR(2),
    /** The change is invalid. */
    REJECTED(3),
    /** Another change came first. */
    CONFLICT(4),
    /** The change may have taken effect; ask for the status. */
    UNKNOWN(5),
    /** The credential was not accepted. */
    NO_CREDENTIAL(6);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    int value() {
        return value;
    }

    static ExitCode ofHttpStatus(int status) {
        return switch (status) {
            case 200 -> OK;
            case 202 -> UNKNOWN;
            case 401, 403 -> NO_CREDENTIAL;
            case 409 -> CONFLICT;
            case 400, 404, 422 -> REJECTED;
            default -> UNAVAILABLE;
        };
    }
}
