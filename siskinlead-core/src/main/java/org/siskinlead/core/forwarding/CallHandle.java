package org.siskinlead.core.forwarding;

import org.jspecify.annotations.Nullable;

/** Cancels a request, also one that has not been admitted yet. */
final class CallHandle implements Forwarder.RequestHandle {
    private @Nullable ForwardedCall call;
    private boolean cancelled;

    /** Tells whether the connection of the caller has ended. */
    boolean isCancelled() {
        return cancelled;
    }

    /** Gets the admitted request, if any. */
    @Nullable
    ForwardedCall call() {
        return call;
    }

    void setCall(ForwardedCall admitted) {
        call = admitted;
    }

    @Override
    public void onCallerDisconnected() {
        cancelled = true;
        if (call != null) {
            call.onCallerDisconnected();
        }
    }

    @Override
    public void onConnectionClosed(String reason) {
        cancelled = true;
        if (call != null) {
            call.onConnectionClosed(reason);
        }
    }
}
