package org.siskinlead.core.fakes;

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

/** Targets that answer as a test tells them to. */
public final class FakeLink implements TargetLink {
    public final List<Sent> sent = new ArrayList<>();
    public final Map<String, Health> health = new HashMap<>();
    public final Map<String, Double> pace = new HashMap<>();
    public int probes;

    private static final long PROBE_MS = 2;
    private final Timers timers;

    public FakeLink(Timers timers) {
        this.timers = timers;
    }

    /** A request that reached a target. */
    public final class Sent {
        public final Dispatch dispatch;
        public final Listener listener;
        public boolean cancelled;

        Sent(Dispatch dispatch, Listener listener) {
            this.dispatch = dispatch;
            this.listener = listener;
        }

        public void answer(int status) {
            listener.onHead(head(status, false, true));
            listener.onBodyChunk("body".getBytes(StandardCharsets.UTF_8));
            listener.onEnd();
        }

        public void refuseAsNotRun(int status) {
            listener.onHead(head(status, true, false));
        }

        public void succeedWithoutSeal() {
            listener.onHead(head(200, false, false));
        }

        public void succeedForAnotherRequest() {
            listener.onHead(new TargetResponse(200, false, true, false, "", -1, List.of()));
        }

        public void begin() {
            listener.onHead(head(200, false, true));
        }

        public void events(long from, long to) {
            for (long id = from; id <= to; id++) {
                raw("id: " + id + "\ndata: t" + id + "\n\n");
            }
        }

        public void raw(String text) {
            listener.onBodyChunk(text.getBytes(StandardCharsets.UTF_8));
        }

        public void end() {
            listener.onEnd();
        }

        public void fail(LinkFailure failure) {
            listener.onFailure(failure);
        }

        private TargetResponse head(int status, boolean notRun, boolean sealed) {
            return new TargetResponse(status, notRun, sealed, true, "", -1, List.of());
        }
    }

    public Sent last() {
        return sent.get(sent.size() - 1);
    }

    @Override
    public Exchange send(Dispatch dispatch, Listener listener) {
        Sent request = new Sent(dispatch, listener);
        sent.add(request);
        return () -> request.cancelled = true;
    }

    @Override
    public void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult) {
        probes++;
        Health found = health.getOrDefault(target.id(), Health.ALIVE);
        long wait = found == Health.SILENT ? timeoutMillis : PROBE_MS;
        timers.after(wait, () -> {
            Health now = health.getOrDefault(target.id(), Health.ALIVE);
            onResult.accept(
                    now == Health.ALIVE
                            ? new ProbeResult(
                                    now,
                                    Map.of(),
                                    new EngineState(
                                            target.layers(), false, 0, 0, 0, pace.getOrDefault(target.id(), 1.0)))
                            : ProbeResult.unanswered(now));
        });
    }
}
