package org.siskinlead.core.forwarding;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.registry.RegisteredTarget;

/**
 * A request as it is sent to a target.
 * @param request the caller's request
 * @param target target that receives it, and the only one that may run it
 * @param path targets that it passes through, or null when this target runs it alone
 * @param team team of the caller, empty when no key was asked for
 * @param priority rank among the target's requests, 0 is first
 * @param remainingMillis time that is left for it, in milliseconds
 * @param lastEventId number of the last event that the caller has, 0 for a stream from the start
 */
public record Dispatch(
        IncomingRequest request,
        RegisteredTarget target,
        @Nullable HopPath path,
        String team,
        int priority,
        long remainingMillis,
        long lastEventId) {}
