package org.siskinlead.core.forwarding;

/** A request that is being forwarded and ends with exactly one outcome. */
interface ForwardedCall {
    /** Sends the request, or queues it when no target has capacity. */
    void begin();

    AdmittedRequest admitted();

    /** Tells whether the current attempt runs on this instance of a target. */
    boolean usesInstance(String instanceId);

    /** Fails the current attempt if it runs on this instance, which was found down. */
    void onTargetDown(String instanceId);

    /** Cancels the request because the caller closed its connection. */
    void onCallerDisconnected();

    /** Ends the request because this daemon shuts down. */
    void terminate(String reason);
}
