package org.siskinlead.core.serving;

import java.util.function.BooleanSupplier;
import org.siskinlead.core.invariant.Invariants;
import org.siskinlead.core.overload.ModelConcurrencyLimits;
import org.siskinlead.core.retry.CrashGuard;
import org.siskinlead.core.retry.RetryBudget;
import org.siskinlead.core.routing.Fleet;
import org.siskinlead.core.time.Timers;
import org.siskinlead.core.timeline.Timeline;

/**
 * Components shared by all requests being served.
 * @param fleet known targets
 * @param targetTransport sends work to the targets
 * @param guard guard against requests that crash targets
 * @param modelLimits limits on requests in flight for each model
 * @param retryBudget budget for retries
 * @param stepLatencies step latency of each target
 * @param timers clock and scheduler
 * @param timeline receives the events
 * @param invariants records violated invariants
 * @param counters counters since the start
 * @param mayContinue whether requests in flight may continue
 */
record ServingContext(
        Fleet fleet,
        TargetTransport targetTransport,
        CrashGuard guard,
        ModelConcurrencyLimits modelLimits,
        RetryBudget retryBudget,
        StepLatencies stepLatencies,
        Timers timers,
        Timeline timeline,
        Invariants invariants,
        ServingCounters counters,
        BooleanSupplier mayContinue) {}
