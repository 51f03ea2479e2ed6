package org.siskinlead.core.forwarding;

import org.jspecify.annotations.Nullable;
import org.siskinlead.core.chains.Hop;
import org.siskinlead.core.chains.HopPath;
import org.siskinlead.core.registry.TargetHealth;
import org.siskinlead.core.timeline.EventKind;

/** One send of a request to a target, with what it takes there while it lasts. */
final class Attempt implements TargetLink.Listener {
    private final ForwardingContext context;
    private final Admitted call;
    private final TargetChooser.Choice choice;
    private final Owner owner;
    private final double tokens;
    private TargetLink.@Nullable Exchange exchange;
    private boolean ended;
    private long sentAt;

    /** Receives what happens to an attempt that has not been cancelled. */
    interface Owner {
        void onHead(Attempt attempt, TargetAnswer answer);

        void onPart(Attempt attempt, byte[] part);

        void onEnd(Attempt attempt);

        void onFailure(Attempt attempt, LinkFailure failure);
    }

    Attempt(ForwardingContext context, Admitted call, TargetChooser.Choice choice, Owner owner) {
        this.context = context;
        this.call = call;
        this.choice = choice;
        this.owner = owner;
        this.tokens = call.expectedTokens();
    }

    // Queries

    TargetHealth target() {
        return choice.target();
    }

    @Nullable
    HopPath path() {
        return choice.path();
    }

    boolean includes(String life) {
        HopPath path = choice.path();
        return path == null ? target().entry().instanceId().equals(life) : path.containsInstance(life);
    }

    long elapsedMillis() {
        return context.timers().nowMillis() - sentAt;
    }

    // Commands

    void start(int number, long lastEvent, int priority) {
        HopPath path = choice.path();
        if (path != null) {
            path.reserve(tokens);
        }
        target().beginRequest();
        sentAt = context.timers().nowMillis();
        context.timeline()
                .record(
                        EventKind.REQUEST_SENT,
                        "request",
                        call.request().id(),
                        "target",
                        describe(),
                        "attempt",
                        number,
                        "afterEvent",
                        lastEvent,
                        "leftMs",
                        call.leftMillis(context.timers()));
        exchange = context.link()
                .send(
                        new Dispatch(
                                call.request(),
                                target().entry(),
                                path,
                                call.team(),
                                priority,
                                Math.max(1, call.leftMillis(context.timers())),
                                lastEvent),
                        this);
    }

    /** Closes the connection to the target; the owner hears nothing more. */
    void cancel() {
        if (release() && exchange != null) {
            exchange.cancel();
        }
    }

    @Override
    public void onHead(TargetAnswer answer) {
        if (!ended) {
            owner.onHead(this, answer);
        }
    }

    @Override
    public void onPart(byte[] part) {
        if (!ended) {
            owner.onPart(this, part);
        }
    }

    @Override
    public void onEnd() {
        if (release()) {
            owner.onEnd(this);
        }
    }

    @Override
    public void onFailure(LinkFailure failure) {
        if (release()) {
            owner.onFailure(this, failure);
        }
    }

    private boolean release() {
        if (ended) {
            return false;
        }
        ended = true;
        target().endRequest();
        HopPath path = choice.path();
        if (path != null) {
            path.reserve(-tokens);
        }
        return true;
    }

    String describe() {
        HopPath path = choice.path();
        if (path == null) {
            return target().entry().id();
        }
        StringBuilder text = new StringBuilder();
        for (Hop hop : path.hops()) {
            text.append(text.length() == 0 ? "" : " ")
                    .append(hop.target().entry().id())
                    .append('=')
                    .append(hop.layers().from())
                    .append('-')
                    .append(hop.layers().to());
        }
        return text.toString();
    }
}
