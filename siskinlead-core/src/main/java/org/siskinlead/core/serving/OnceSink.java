package org.siskinlead.core.serving;

/** Passes an answer on while asserting that tokens come once and in order and that the request ends once. */
final class OnceSink implements CompletionSink {
    private final CompletionSink sink;
    private final CompletionRequest request;
    private final ServingContext context;
    private int next;
    private boolean ended;

    OnceSink(CompletionSink sink, CompletionRequest request, ServingContext context) {
        this.sink = sink;
        this.request = request;
        this.context = context;
    }

    @Override
    public void onToken(int position, String token) {
        if (context.invariants().check(!ended && position == next, "token-once-in-order", request.id())) {
            next++;
            sink.onToken(position, token);
        }
    }

    @Override
    public void onComplete() {
        if (endOnce()) {
            context.invariants().check(next == request.maxTokens(), "complete-answer", request.id());
            context.counters().completed++;
            sink.onComplete();
        }
    }

    @Override
    public void onRefused(Refusal refusal) {
        if (endOnce()) {
            context.invariants()
                    .check(refusal.outcome() != RequestOutcome.NOT_RUN || next == 0, "not-run-is-true", request.id());
            context.counters().refused++;
            sink.onRefused(refusal);
        }
    }

    @Override
    public boolean abandoned() {
        return sink.abandoned();
    }

    private boolean endOnce() {
        boolean first = context.invariants().check(!ended, "one-outcome", request.id());
        ended = true;
        return first;
    }
}
