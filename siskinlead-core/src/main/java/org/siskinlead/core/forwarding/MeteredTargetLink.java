package org.siskinlead.core.forwarding;

import java.util.function.Consumer;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.RegisteredTarget;

/** Link that counts all requests and probes against the limits of the targets that they reach, later hops included. */
public final class MeteredTargetLink implements TargetLink {
    private final TargetLink link;
    private final TargetRateLimits limits;

    private MeteredTargetLink(TargetLink link, TargetRateLimits limits) {
        this.link = link;
        this.limits = limits;
    }

    /**
     * Meters a link.
     * @param link sends requests to targets
     * @param limits limits of the targets
     * @return the metered link
     */
    public static MeteredTargetLink of(TargetLink link, TargetRateLimits limits) {
        return new MeteredTargetLink(link, limits);
    }

    @Override
    public Exchange send(Dispatch dispatch, Listener listener) {
        HopPath path = dispatch.path();
        if (path == null) {
            limits.onSent(dispatch.target().instanceId());
        } else {
            for (Hop hop : path.hops()) {
                limits.onSent(hop.target().entry().instanceId());
            }
        }
        return link.send(dispatch, listener);
    }

    @Override
    public void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult) {
        limits.onSent(target.instanceId());
        link.probe(target, timeoutMillis, onResult);
    }
}
