package org.siskinlead.core.serving;

/** Result of a call to a plain service. */
public sealed interface ServiceResult {
    /**
     * The service answered.
     * @param status HTTP status
     * @param body body of the answer
     */
    record Answered(int status, String body) implements ServiceResult {}

    /** The call was never sent. */
    record NotSent() implements ServiceResult {}

    /** The call was sent but no answer arrived. */
    record NoAnswer() implements ServiceResult {}
}
