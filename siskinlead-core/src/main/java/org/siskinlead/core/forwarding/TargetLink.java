package org.siskinlead.core.forwarding;

import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.registry.EngineState;
import org.siskinlead.core.registry.RegisteredTarget;

/** Way to the targets. Listeners and consumers are called on the decision thread. */
public interface TargetLink {
    /** Receives an answer. After {@code onEnd} or {@code onFailure} nothing follows. */
    interface Listener {
        /**
         * Takes the head of the answer.
         * @param answer status and header section
         */
        void onHead(TargetResponse answer);

        /**
         * Takes a part of the body.
         * @param part the bytes
         */
        void onBodyChunk(byte[] part);

        /** Takes note that the answer is complete. */
        void onEnd();

        /**
         * Takes note that the answer will not be completed.
         * @param failure why
         */
        void onFailure(LinkFailure failure);
    }

    /** An exchange in flight. */
    interface Exchange {
        /** Closes the connection; the listener hears nothing more. */
        void cancel();
    }

    /** What a probe showed. */
    enum Health {
        /** It answered. */
        ALIVE,
        /** Nothing listens at its address, or another target does. */
        CRASHED,
        /** No answer in time. */
        SILENT
    }

    /**
     * Result of a probe.
     * @param health what it showed
     * @param stalled requests that wait for another target, with the address of that target
     * @param state what the engine said of itself, or null when it did not answer
     */
    record ProbeResult(
            Health health,
            Map<String, String> stalled,
            @Nullable EngineState state) {
        /**
         * Creates the result of a probe without an answer.
         * @param health what it showed
         * @return the result
         */
        public static ProbeResult unanswered(Health health) {
            return new ProbeResult(health, Map.of(), null);
        }
    }

    /**
     * Sends a request.
     * @param dispatch the request and where it goes
     * @param listener receives the answer
     * @return the exchange
     */
    Exchange send(Dispatch dispatch, Listener listener);

    /**
     * Asks a model engine for a sign of life.
     * @param target the target
     * @param timeoutMillis longest wait, in milliseconds
     * @param onResult receives the result once
     */
    void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult);
}
