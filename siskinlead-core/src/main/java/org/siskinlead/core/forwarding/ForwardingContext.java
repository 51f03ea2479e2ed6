package org.siskinlead.core.forwarding;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.siskinlead.core.ratelimit.TargetRateLimits;
import org.siskinlead.core.registry.TargetRegistry;
import org.siskinlead.core.retry.CrashSuspects;
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
        CrashSuspects suspects,
        CrashWatch crashWatch,
        TargetProber prober,
        TargetRateLimits rateLimits,
        ResponseMemory responseMemory,
        StreamPace streamPace,
        AnswerTimes answerTimes,
        InterconnectShare interconnect,
        DrainPolicy drain,
        ForwardingCounters counters,
        RandomGenerator random,
        IntSupplier daemonCount) {}
