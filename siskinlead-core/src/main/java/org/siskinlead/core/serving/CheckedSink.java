package org.siskinlead.core.serving;

/** Forwards an answer and checks that each token arrives once and in order and that the request ends once. */
final class CheckedSink implements CompletionSink {
    private final CompletionSink sink;
    private final CompletionRequest request;
    private final ServingContext context;
    private int nextPosition;
    private boolean ended;

    CheckedSink(CompletionSink sink, CompletionRequest request, ServingContext context) {
        this.sink = sink;
        this.request = request;
        this.context = context;
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
            sink.onRefused(refusal);
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
