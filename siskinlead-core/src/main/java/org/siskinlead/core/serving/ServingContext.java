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
 * What every request in service shares.
 * @param fleet targets known
 * @param targets way to the targets
 * @param guard guard against requests that crash targets
 * @param modelLimits limits on requests in flight
 * @param retryBudget budget for retries
 * @param stepLatencies how long targets take
 * @param timers time
 * @param timeline where events go
 * @param invariants checks
 * @param counters counts
 * @param mayContinue whether requests in flight may go on
 */
record ServingContext(
        Fleet fleet,
        Targets targets,
        CrashGuard guard,
        ModelConcurrencyLimits modelLimits,
        RetryBudget retryBudget,
        StepLatencies stepLatencies,
        Timers timers,
        Timeline timeline,
        Invariants invariants,
        ServingCounters counters,
        BooleanSupplier mayContinue) {}
