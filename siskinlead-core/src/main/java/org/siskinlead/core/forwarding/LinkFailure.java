package org.siskinlead.core.forwarding;

/** Reasons why an exchange with a target ended without a complete response. */
public enum LinkFailure {
    /** The connection was refused; nothing was sent. */
    REFUSED(false),
    /** The connection attempt timed out; nothing was sent. */
    UNREACHABLE(false),
    /** The connection was lost after the request may have been sent. */
    BROKEN(true),
    /** The received data is not a valid response to the request. */
    MALFORMED(true);

    private final boolean mayHaveRun;

    LinkFailure(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Tells whether the target may have started to execute the request.
     * @return false when nothing was sent
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
