package org.siskinlead.core.forwarding;

import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.registry.EngineState;
import org.siskinlead.core.registry.RegisteredTarget;

/** Transport to the targets. Listeners and consumers are called on the decision thread. */
public interface TargetLink {
    /** Receives a response. No call follows {@code onEnd} or {@code onFailure}. */
    interface Listener {
        /**
         * Receives the head of the response.
         * @param response status and header section
         */
        void onHead(TargetResponse response);

        /**
         * Receives the next bytes of the body.
         * @param part the bytes, cut at any position
         */
        void onBodyChunk(byte[] part);

        /** Signals that the response is complete. */
        void onEnd();

        /**
         * Signals that the response will not be completed.
         * @param failure cause
         */
        void onFailure(LinkFailure failure);
    }

    /** A request in flight and its response. */
    interface Exchange {
        /** Closes the connection; the listener is not called any more. */
        void cancel();
    }

    /** Health of a target according to a probe. */
    enum Health {
        /** The target answered. */
        ALIVE,
        /** Nothing accepts connections at the target's address. */
        CRASHED,
        /** Another instance answers at the target's address, so this one has ended. */
        REPLACED,
        /** The target did not answer in time. */
        SILENT
    }

    /**
     * Result of a probe.
     * @param health health of the target
     * @param stalled ids of requests that wait for another target, with the address of that target
     * @param state state reported by a model engine, or null when none was reported
     */
    record ProbeResult(
            Health health,
            Map<String, String> stalled,
            @Nullable EngineState state) {
        /**
         * Creates the result of a probe without an answer.
         * @param health health without a reported state
         * @return the result
         */
        public static ProbeResult unanswered(Health health) {
            return new ProbeResult(health, Map.of(), null);
        }
    }

    /**
     * Sends a request.
     * @param dispatch the request and its target
     * @param listener receives the response
     * @return the exchange, which can be cancelled
     */
    Exchange send(Dispatch dispatch, Listener listener);

    /**
     * Checks the health of a target.
     * @param target the target
     * @param timeoutMillis longest wait for the answer, in milliseconds
     * @param onResult receives the result, exactly once
     */
    void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult);
}
