package org.siskinlead.cli;

/** Exit codes of {@code siskinleadctl}. */
enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** No daemon responded, or the daemon cannot process the request at present. */
    UNAVAILABLE(1),
    /** The command line is invalid. */
    USAGE_ERROR(2),
    /** The change is invalid, or what it names does not exist. */
    REJECTED(3),
    /** The change conflicts with one that was accepted before it. */
    CONFLICT(4),
    /** The change may or may not have taken effect; the status of the daemon shows which. */
    UNKNOWN(5),
    /** The credential is missing or was not accepted. */
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
