package org.siskinlead.core.forwarding;

/** A request on its way to its one outcome. */
interface ForwardedCall {
    /** Sends the request, or makes it wait. */
    void begin();

    /** Gets the request. */
    AdmittedRequest admitted();

    /** Tells whether a life of a target works on the request now. */
    boolean usesInstance(String instanceId);

    /** Takes note that a target was found down. */
    void onTargetDown(String instanceId);

    /** Stops all work for a caller that has closed its connection. */
    void onCallerDisconnected();

    /** Ends the request because this daemon stops. */
    void terminate(String reason);
}
