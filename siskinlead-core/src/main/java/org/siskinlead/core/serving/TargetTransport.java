package org.siskinlead.core.serving;

import java.util.function.Consumer;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.core.routing.Target;

/** Sends work to targets. */
public interface TargetTransport {
    /**
     * Sends one step to a model engine.
     * @param target the engine
     * @param step the step
     * @param timeoutMillis timeout for the answer, in milliseconds
     * @param onResult receives the result once
     */
    void step(Target target, Step step, long timeoutMillis, Consumer<StepResult> onResult);

    /**
     * Asks an engine to discard the state of an attempt.
     * @param target the engine
     * @param request identifier of the request
     * @param attempt number of the attempt
     */
    void cancel(Target target, String request, int attempt);

    /**
     * Probes whether the engine's process is still running.
     * @param target the engine
     * @param onLiveness receives the result once
     */
    void probe(Target target, Consumer<Liveness> onLiveness);

    /**
     * Sends a call to a plain service.
     * @param vm VM of the service
     * @param call the call
     * @param timeoutMillis timeout for the answer, in milliseconds
     * @param onResult receives the result once
     */
    void call(VmEntry vm, ServiceCall call, long timeoutMillis, Consumer<ServiceResult> onResult);

    /** Result of a probe. */
    enum Liveness {
        /** The same process answered. */
        ALIVE,
        /** The connection was refused or another process answered. */
        DEAD,
        /** Nothing answered. */
        SILENT
    }
}
