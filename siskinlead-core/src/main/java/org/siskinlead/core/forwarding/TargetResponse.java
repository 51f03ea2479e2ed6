package org.siskinlead.core.forwarding;

import java.util.List;

/**
 * Head of a target's answer.
 * @param status HTTP status
 * @param notRun whether the target says that it did not run the request and will not
 * @param sealed whether it bears the target's mark of authenticity
 * @param matchesRequest whether it names the request that was sent
 * @param faultAddress address of another target that it blames, empty when it blames none
 * @param load running and waiting requests of the target, negative when it did not say
 * @param headers header fields to pass on to the caller
 */
public record TargetResponse(
        int status,
        boolean notRun,
        boolean sealed,
        boolean matchesRequest,
        String faultAddress,
        double load,
        List<HeaderField> headers) {
    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int SERVER_ERROR = 500;

    /**
     * Tells whether the status says success.
     * @return true for 2xx
     */
    public boolean isSuccess() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }

    /**
     * Tells whether the target failed the request.
     * @return true for 5xx
     */
    public boolean isServerError() {
        return status >= SERVER_ERROR;
    }

    /**
     * Tells whether this can be the answer to the request.
     * @return false when it belongs to another request, or says success without the mark of authenticity
     */
    public boolean isAuthentic() {
        return matchesRequest && (sealed || !isSuccess());
    }
}
