package org.siskinlead.core.admission;

import static org.siskinlead.core.forwarding.TargetResponse.UNLIMITED;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.siskinlead.core.fakes.ManualTimers;
import org.siskinlead.core.forwarding.Dispatch;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.registry.RegisteredTarget;
import org.siskinlead.core.routing.LayerRange;

/**
 * Engines that run whole requests within their slots and memory, queue a few by X-Request-Priority and refuse the others.
 * They are told apart by the number in their names.
 */
final class FakeEngines {
    static final int COUNT = 13;
    /** Requests that fit the memory of one engine, fewer than its slots. */
    static final int RUNNING_EACH = 23;

    static final long RUN_MS = 1_500;
    static final int SLOTS = 25;
    private static final int QUEUE_LENGTH = 8;
    private static final long EVENT_MS = 375;
    private static final long HOP_MS = 1;

    /** Times of the sends that reached engines, in milliseconds. */
    final List<Long> sends = new ArrayList<>();
    /** Times of the sends that engines refused. */
    final List<Long> refusals = new ArrayList<>();
    /** Until when engines refuse all sends, whatever they have room for. */
    long refuseAllUntil;

    /** Whether answers tell how many requests run and wait. */
    boolean reportsLoad = true;

    private final ManualTimers timers;
    private final List<Engine> engines =
            IntStream.range(0, COUNT).mapToObj(i -> new Engine()).toList();
    private long nextNumber;

    FakeEngines(ManualTimers timers) {
        this.timers = timers;
    }

    static RegisteredTarget entry(int number) {
        return new RegisteredTarget(
                "e" + number,
                1,
                AdmissionFleet.SERVICE,
                "10.0.0.1:" + (1_000 + number),
                "east",
                SLOTS,
                false,
                AdmissionFleet.ACCELERATOR,
                new LayerRange(0, AdmissionFleet.LAYERS));
    }

    /** Gets the running and waiting requests of an engine for each that fits. */
    double load(String id) {
        Engine engine = engine(id);
        return (engine.running.size() + engine.waiting.size()) / (double) RUNNING_EACH;
    }

    private Engine engine(String id) {
        return engines.get(Integer.parseInt(id.substring(1)));
    }

    /** Link of a daemon to all engines. */
    TargetLink link() {
        return new TargetLink() {
            @Override
            public Exchange send(Dispatch dispatch, Listener listener) {
                Engine engine = engine(dispatch.target().id());
                Run run = new Run(dispatch, listener, nextNumber++);
                timers.after(HOP_MS, () -> engine.arrive(run));
                return () -> engine.end(run);
            }

            @Override
            public void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult) {
                timers.after(HOP_MS, () -> onResult.accept(new ProbeResult(Health.ALIVE, Map.of(), null)));
            }
        };
    }

    private record Run(Dispatch dispatch, TargetLink.Listener listener, long number) {
        private static final Comparator<Run> ORDER =
                Comparator.comparingInt((Run r) -> r.dispatch().priority()).thenComparingLong(Run::number);
    }

    private final class Engine {
        private final List<Run> running = new ArrayList<>();
        private final PriorityQueue<Run> waiting = new PriorityQueue<>(Run.ORDER);

        void arrive(Run run) {
            sends.add(timers.nowMillis());
            boolean refusesAll = timers.nowMillis() < refuseAllUntil;
            if (refusesAll || (running.size() >= RUNNING_EACH && waiting.size() >= QUEUE_LENGTH)) {
                refusals.add(timers.nowMillis());
                run.listener().onHead(head(503));
                return;
            }
            waiting.add(run);
            startWaiting();
        }

        private void startWaiting() {
            while (!waiting.isEmpty() && running.size() < RUNNING_EACH) {
                Run run = waiting.remove();
                running.add(run);
                timers.after(HOP_MS, () -> run.listener().onHead(head(200)));
                write(run, run.dispatch().lastEventId() + 1);
            }
        }

        private void write(Run run, long event) {
            timers.after(EVENT_MS, () -> {
                if (!running.contains(run)) {
                    return;
                }
                String text = "id: " + event + "\ndata: t\n\n";
                run.listener().onBodyChunk(text.getBytes(StandardCharsets.UTF_8));
                if (event * EVENT_MS < RUN_MS) {
                    write(run, event + 1);
                } else {
                    end(run);
                    run.listener().onEnd();
                }
            });
        }

        void end(Run run) {
            if (running.remove(run) || waiting.remove(run)) {
                startWaiting();
            }
        }

        private TargetResponse head(int status) {
            return new TargetResponse(
                    status,
                    status != 200,
                    true,
                    true,
                    "",
                    reportsLoad ? running.size() + waiting.size() : -1,
                    reportsLoad ? waiting.size() : -1,
                    false,
                    UNLIMITED,
                    0,
                    List.of());
        }
    }
}
