package org.siskinlead.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.siskinlead.core.forwarding.ForwardingCounters.Count;
import org.siskinlead.core.timeline.EventKind;

/** Records requests that were passed on to a target and end without a complete answer, with all that led to it. */
final class CutRecorder {
    private CutRecorder() {}

    /**
     * Records a cut request.
     * @param reason outcome of the request
     * @param status status that the caller gets, 0 when its connection is closed
     * @param outcomeDetails further fields, as alternating names and values
     */
    static void record(
            ForwardingContext context,
            AdmittedRequest admitted,
            SendHistory sends,
            Ending ending,
            String reason,
            int status,
            List<Object> outcomeDetails) {
        context.counters().increment(Count.CUT);
        if (ending == Ending.DAEMON_STOPPED) {
            context.counters().increment(Count.CUT_BY_STOP);
        }
        DrainPolicy drain = context.drain();
        List<Object> fields = new ArrayList<>(List.of(
                "request",
                admitted.request().id(),
                "cause",
                ending,
                "reason",
                reason,
                "status",
                status,
                "route",
                admitted.route().name(),
                "target",
                sends.lastInstance(),
                "sends",
                sends.sendCount(),
                "draining",
                drain.isDraining(),
                "drainMs",
                drain.sinceBeginMillis(),
                "leftMs",
                drain.leftMillis(),
                "tookMs",
                context.timers().nowMillis() - admitted.receivedAt()));
        fields.addAll(outcomeDetails);
        fields.addAll(describe(admitted));
        context.timeline().record(EventKind.REQUEST_CUT, fields.toArray());
    }

    /** Gets what was judged of the request when it was accepted, as alternating names and values; empty if not draining. */
    static List<Object> describe(AdmittedRequest admitted) {
        DrainEstimate estimate = admitted.drainEstimate();
        if (estimate == null) {
            return List.of();
        }
        return List.of(
                "acceptedAtDrainMs",
                estimate.sinceBeginMillis(),
                "acceptedLeftMs",
                estimate.leftMillis(),
                "estimateMs",
                estimate.maxDurationMillis(),
                "estimateBy",
                estimate.basis());
    }
}
