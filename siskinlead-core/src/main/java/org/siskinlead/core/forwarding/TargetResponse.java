package org.siskinlead.core.forwarding;

import java.util.List;
import java.util.Set;

/**
 * Head of a target's response.
 * @param status HTTP status
 * @param notRun whether the target states that it has not executed the request and will not
 * @param sealed whether the response carries the seal by which the target marks it as authentic
 * @param matchesRequest whether the response carries the id of the request that was sent
 * @param faultAddress address of another target that this one reports as faulty, empty for none
 * @param load running and waiting requests of the target, negative when not given
 * @param waiting waiting requests of the target, part of its load, negative when not given
 * @param leaving whether the target says that it is about to stop
 * @param requestsPerSecond rate of requests that the target takes from all daemons together, infinite when it names no
 *     limit, {@code NaN} when it names one that cannot be read
 * @param retryAfterMillis time for which the target asks not to be sent requests, in milliseconds; 0 when not given
 * @param headers header fields to forward to the caller
 */
public record TargetResponse(
        int status,
        boolean notRun,
        boolean sealed,
        boolean matchesRequest,
        String faultAddress,
        double load,
        double waiting,
        boolean leaving,
        double requestsPerSecond,
        long retryAfterMillis,
        List<HeaderField> headers) {
    /** Rate of a target that names no limit. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int SERVER_ERROR = 500;
    /** Statuses by which a caller knows that its request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** Creates the head of a response that does not tell waiting requests from running ones. */
    public TargetResponse(
            int status,
            boolean notRun,
            boolean sealed,
            boolean matchesRequest,
            String faultAddress,
            double load,
            boolean leaving,
            double requestsPerSecond,
            long retryAfterMillis,
            List<HeaderField> headers) {
        this(
                status,
                notRun,
                sealed,
                matchesRequest,
                faultAddress,
                load,
                -1,
                leaving,
                requestsPerSecond,
                retryAfterMillis,
                headers);
    }

    /**
     * Tells whether the status is a success.
     * @return true for 2xx
     */
    public boolean isSuccess() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }

    /**
     * Tells whether the status is a server error.
     * @return true for 500 and above
     */
    public boolean isServerError() {
        return status >= SERVER_ERROR;
    }

    /**
     * Tells whether a caller takes the status to mean that its request has not run.
     * @return true also when the target itself does not say so
     */
    public boolean meansNotRun() {
        return NOT_RUN_STATUSES.contains(status);
    }

    /**
     * Tells whether this response may be delivered for the request.
     * @return false when it belongs to another request, or is a success without the response seal
     */
    public boolean isAuthentic() {
        return matchesRequest && (sealed || !isSuccess());
    }
}
