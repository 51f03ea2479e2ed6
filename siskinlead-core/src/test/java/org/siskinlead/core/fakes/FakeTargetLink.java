package org.siskinlead.core.fakes;

import static org.siskinlead.core.forwarding.TargetResponse.UNLIMITED;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.siskinlead.core.forwarding.Dispatch;
import org.siskinlead.core.forwarding.LinkFailure;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.registry.EngineState;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.time.Timers;

/** Link to fake targets, whose answers the test controls. */
public final class FakeTargetLink implements TargetLink {
    public final List<ReceivedRequest> received = new ArrayList<>();
    public final Map<String, Health> healthByTarget = new HashMap<>();
    public final Map<String, Double> slowdownByTarget = new HashMap<>();
    public int probeCount;
    public final Map<String, Integer> probesByTarget = new HashMap<>();

    private static final long PROBE_LATENCY_MS = 2;
    private final Timers timers;

    public FakeTargetLink(Timers timers) {
        this.timers = timers;
    }

    /** Request that reached a target, with methods that answer it. */
    public final class ReceivedRequest {
        public final Dispatch dispatch;
        public final Listener listener;
        public boolean cancelled;
        /** Whether the target has begun to answer. */
        public boolean ran;
        /** Last event that the target has written, for tests that count. */
        public long written;
        /** Whether the target says in its answer that it is about to stop. */
        public boolean leaving;
        /** Limit that the target names in its answer, in requests a second. */
        public double requestsPerSecond = UNLIMITED;
        /** Time for which the target asks not to be sent requests. */
        public long retryAfterMillis;

        ReceivedRequest(Dispatch dispatch, Listener listener) {
            this.dispatch = dispatch;
            this.listener = listener;
        }

        public void respond(int status) {
            listener.onHead(responseHead(status, false, true));
            listener.onBodyChunk("body".getBytes(StandardCharsets.UTF_8));
            listener.onEnd();
        }

        public void respondNotRun(int status) {
            listener.onHead(responseHead(status, true, false));
        }

        public void respondWithoutSeal() {
            listener.onHead(responseHead(200, false, false));
        }

        public void respondForAnotherRequest() {
            listener.onHead(new TargetResponse(200, false, true, false, "", -1, false, UNLIMITED, 0, List.of()));
        }

        public void startStream() {
            ran = true;
            listener.onHead(responseHead(200, false, true));
        }

        public void sendEvents(long from, long to) {
            for (long id = from; id <= to; id++) {
                sendRaw("id: " + id + "\ndata: t" + id + "\n\n");
            }
        }

        public void sendRaw(String text) {
            listener.onBodyChunk(text.getBytes(StandardCharsets.UTF_8));
        }

        public void endStream() {
            listener.onEnd();
        }

        public void fail(LinkFailure failure) {
            listener.onFailure(failure);
        }

        private TargetResponse responseHead(int status, boolean notRun, boolean sealed) {
            return new TargetResponse(
                    status, notRun, sealed, true, "", -1, leaving, requestsPerSecond, retryAfterMillis, List.of());
        }
    }

    public ReceivedRequest last() {
        return received.get(received.size() - 1);
    }

    @Override
    public Exchange send(Dispatch dispatch, Listener listener) {
        ReceivedRequest request = new ReceivedRequest(dispatch, listener);
        received.add(request);
        return () -> request.cancelled = true;
    }

    @Override
    public void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult) {
        probeCount++;
        probesByTarget.merge(target.id(), 1, Integer::sum);
        Health found = healthByTarget.getOrDefault(target.id(), Health.ALIVE);
        long wait = found == Health.SILENT ? timeoutMillis : PROBE_LATENCY_MS;
        timers.after(wait, () -> {
            Health now = healthByTarget.getOrDefault(target.id(), Health.ALIVE);
            onResult.accept(
                    now == Health.ALIVE
                            ? new ProbeResult(
                                    now,
                                    Map.of(),
                                    new EngineState(
                                            target.layers(),
                                            false,
                                            0,
                                            0,
                                            0,
                                            slowdownByTarget.getOrDefault(target.id(), 1.0)))
                            : ProbeResult.unanswered(now));
        });
    }
}
