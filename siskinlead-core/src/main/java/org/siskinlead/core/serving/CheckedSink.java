package org.siskinlead.core.serving;

/** Forwards an answer and checks that each token arrives once and in order and that the request ends once. */
final class CheckedSink implements CompletionSink {
    private final CompletionSink sink;
    private final CompletionRequest request;
    private final ServingContext context;
    private final long deadlineAt;
    private int nextPosition;
    private boolean ended;

    CheckedSink(CompletionSink sink, CompletionRequest request, ServingContext context) {
        this.sink = sink;
        this.request = request;
        this.context = context;
        this.deadlineAt = context.timers().nowMillis() + request.deadlineMillis();
    }

    /** Gets the time that the caller has left, counted from the arrival of the request, in milliseconds. */
    long leftMillis() {
        return Math.max(0, deadlineAt - context.timers().nowMillis());
    }

    @Override
    public void onToken(int position, String token) {
        if (context.invariants().check(!ended && position == nextPosition, "token-once-in-order", request.id())) {
            nextPosition++;
            sink.onToken(position, token);
        }
    }

    @Override
    public void onComplete() {
        if (endOnce()) {
            context.invariants().check(nextPosition == request.maxTokens(), "complete-answer", request.id());
            context.counters().completed++;
            sink.onComplete();
        }
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (endOnce()) {
            context.invariants()
                    .check(
                            refusal.outcome() != RequestOutcome.NOT_RUN || nextPosition == 0,
                            "not-run-is-true",
                            request.id());
            context.counters().refused++;
            sink.onRefused(refusal.withRetryWithin(leftMillis()));
        }
    }

    @Override
    public boolean isCallerDisconnected() {
        return sink.isCallerDisconnected();
    }

    private boolean endOnce() {
        boolean first = context.invariants().check(!ended, "one-outcome", request.id());
        ended = true;
        return first;
    }
}
