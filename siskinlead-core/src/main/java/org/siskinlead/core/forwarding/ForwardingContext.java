package org.siskinlead.core.forwarding;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.siskinlead.core.admission.Admission;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.retrybudget.RetryBudgetShare;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.Timeline;

/** Collaborators shared by the classes that forward requests. */
record ForwardingContext(
        Timers timers,
        Timeline timeline,
        TargetRegistry registry,
        TargetLink link,
        RetryBudgetShare retryBudget,
        CrashWatch crashWatch,
        TargetProber prober,
        TargetRateLimits rateLimits,
        ResponseMemory responseMemory,
        StreamPace streamPace,
        AnswerTimes answerTimes,
        InterconnectShare interconnect,
        DrainPolicy drain,
        Admission admission,
        ForwardingCounters counters,
        RandomGenerator random,
        IntSupplier daemonCount) {
    /** Creates the collaborators of a forwarder; no listener for targets found down is set yet. */
    static ForwardingContext of(
            Timers timers,
            Timeline timeline,
            TargetRegistry registry,
            TargetLink link,
            TargetRateLimits rateLimits,
            RetryBudgetShare retryBudget,
            IntSupplier daemonCount,
            RandomGenerator random) {
        ForwardingCounters counters = new ForwardingCounters();
        StreamPace streamPace = StreamPace.of(timers);
        TargetLink metered = MeteredTargetLink.of(link, rateLimits);
        return new ForwardingContext(
                timers,
                timeline,
                registry,
                metered,
                retryBudget,
                new CrashWatch(timers, timeline, Long.toHexString(random.nextLong()) + "-"),
                new TargetProber(timers, timeline, registry, metered, counters, daemonCount),
                rateLimits,
                new ResponseMemory(),
                streamPace,
                AnswerTimes.of(timers),
                InterconnectShare.of(timers, daemonCount),
                DrainPolicy.of(timers, streamPace),
                Admission.of(timers, timeline, daemonCount, random),
                counters,
                random,
                daemonCount);
    }
}
