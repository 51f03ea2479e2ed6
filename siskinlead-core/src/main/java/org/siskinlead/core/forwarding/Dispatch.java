package org.siskinlead.core.forwarding;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.registry.RegisteredTarget;

/**
 * A request as it is sent to a target.
 * @param request the caller's request
 * @param target target that receives the request and is the only one that may execute it
 * @param path targets whose layers the request passes through, or null when this target runs it alone
 * @param team team of the caller, empty when the route requires no key
 * @param priority priority among the target's requests, 0 is first
 * @param remainingMillis time until the caller stops waiting, in milliseconds
 * @param lastEventId id of the last event that the caller has received, 0 for a stream from the start
 */
public record Dispatch(
        IncomingRequest request,
        RegisteredTarget target,
        @Nullable HopPath path,
        String team,
        int priority,
        long remainingMillis,
        long lastEventId) {}
