package org.siskinlead.core.forwarding;

import java.util.Optional;
import org.siskinlead.core.crash.Suspect;

/** A request that is being forwarded and ends with exactly one outcome. */
interface ForwardedCall {
    /** Sends the request, or queues it when no target has capacity. */
    void begin();

    AdmittedRequest admitted();

    /** Tells whether the current attempt runs on this instance of a target. */
    boolean usesInstance(String instanceId);

    /** Handles that an instance was found down, on which the current attempt may run. */
    void onTargetDown(String instanceId, TargetLoss loss);

    /**
     * Gets the request as a suspect of the crash of an instance of a target.
     * @return empty unless the current attempt runs there and its answer has not begun, or only just
     */
    Optional<Suspect> suspectOn(String instanceId);

    /** Ends the request if it is likely to crash its next target. */
    void endIfBlocked();

    /** Ends the request, which may have crashed an instance of a target, if a part of its prompt is accused already. */
    void endIfAccusedBesides(String instanceId);

    /** Cancels the request because the caller closed its connection. */
    void onCallerDisconnected();

    /** Ends the request because this daemon closed the connection of its caller. */
    void onConnectionClosed(String reason);

    /** Ends the request because this daemon shuts down. */
    void terminate(String reason);
}
