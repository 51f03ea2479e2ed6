package org.siskinlead.core.forwarding;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.siskinlead.core.forwarding.TargetChooser.CapacityCheck;

/** Decides where a stream that has begun is resumed, and charges that to the retry budget. */
final class StreamResumption {
    private final ForwardingContext context;
    private final TargetChooser chooser;
    private final AdmittedRequest admitted;
    private final SendHistory sendHistory;
    private RetryBudgetShare.Cost cost = RetryBudgetShare.Cost.FREE;

    private StreamResumption(
            ForwardingContext context, TargetChooser chooser, AdmittedRequest admitted, SendHistory sendHistory) {
        this.context = context;
        this.chooser = chooser;
        this.admitted = admitted;
        this.sendHistory = sendHistory;
    }

    static StreamResumption of(
            ForwardingContext context, TargetChooser chooser, AdmittedRequest admitted, SendHistory sendHistory) {
        return new StreamResumption(context, chooser, admitted, sendHistory);
    }

    // Queries

    /** Chooses a target and a path with capacity for the stream and without the given target instances. */
    Optional<TargetChooser.Choice> chooseWithout(Set<String> instanceIds) {
        Set<String> excluded = new HashSet<>(sendHistory.excludedInstances());
        excluded.addAll(instanceIds);
        return chooser.choose(admitted, excluded, sendHistory::allowsResumeAt, CapacityCheck.ENFORCED);
    }

    /** Gets the time until the resumption that is due can be taken from the retry budget, in milliseconds. */
    long millisToPay() {
        return cost == RetryBudgetShare.Cost.FREE
                ? 0
                : context.retryBudget()
                        .millisToAcquire(admitted.service().name(), RetryBudgetShare.Purpose.RESUME_OR_BUFFERED);
    }

    // Commands

    /** Sets the cost of the resumption that is due. */
    void onDue(RetryBudgetShare.Cost costOfResumption) {
        cost = costOfResumption;
    }

    /** Takes the resumption from the retry budget; returns false while that is used up. */
    boolean pay() {
        if (cost == RetryBudgetShare.Cost.BUDGETED
                && !context.retryBudget()
                        .tryAcquire(admitted.service().name(), RetryBudgetShare.Purpose.RESUME_OR_BUFFERED)) {
            return false;
        }
        cost = RetryBudgetShare.Cost.FREE;
        return true;
    }
}
