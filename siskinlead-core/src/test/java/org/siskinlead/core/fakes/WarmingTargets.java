package org.siskinlead.core.fakes;

import static org.siskinlead.core.forwarding.TargetResponse.UNLIMITED;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.siskinlead.core.forwarding.Dispatch;
import org.siskinlead.core.forwarding.LinkFailure;
import org.siskinlead.core.forwarding.TargetLink;
import org.siskinlead.core.forwarding.TargetResponse;
import org.siskinlead.core.registry.RegisteredTarget;

/** Targets whose work takes several times the usual time until they are warm, in virtual time. */
public final class WarmingTargets implements TargetLink {
    private static final int EVENTS = 5;

    private final ManualTimers timers;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Job> waiting = new ArrayList<>();

    /** A target, which runs as many requests at once as it has slots; others wait or are refused. */
    public static final class Machine {
        public double coldFactor = 1;
        public long warmUpMillis = 1;
        public long startedAt;
        public boolean refuses;
        private final List<Long> sends = new ArrayList<>();
        private final List<Long> completions = new ArrayList<>();
        private final RegisteredTarget entry;
        private final long usualMillis;
        private boolean down;
        private int running;

        Machine(RegisteredTarget entry, long usualMillis) {
            this.entry = entry;
            this.usualMillis = usualMillis;
        }

        public String id() {
            return entry.id();
        }

        public long sendsBetween(long from, long to) {
            return sends.stream().filter(at -> at >= from && at < to).count();
        }

        public double rateBetween(long from, long to) {
            return completions.stream().filter(at -> at >= from && at < to).count() * 1_000.0 / (to - from);
        }
    }

    WarmingTargets(ManualTimers timers) {
        this.timers = timers;
    }

    List<RegisteredTarget> entries() {
        return machines.values().stream().map(m -> m.entry).toList();
    }

    public Machine get(String id) {
        return Objects.requireNonNull(machines.get(id));
    }

    Machine start(RegisteredTarget entry, long usualMillis) {
        Machine machine = new Machine(entry, usualMillis);
        machine.startedAt = timers.nowMillis();
        machines.put(entry.id(), machine);
        return machine;
    }

    /** Lets a target accept no connections for a time; it is cold afterwards. */
    void interrupt(Machine machine, long millis) {
        machine.down = true;
        timers.after(millis, () -> {
            machine.down = false;
            machine.startedAt = timers.nowMillis();
        });
    }

    /** A request that was sent to targets. */
    private final class Job implements TargetLink.Exchange {
        private final TargetLink.Listener listener;
        private final List<Machine> hops = new ArrayList<>();
        private final int parts;
        private boolean running;
        private boolean ended;

        Job(Dispatch dispatch, TargetLink.Listener listener) {
            this.listener = listener;
            this.parts = dispatch.path() == null ? 1 : EVENTS;
            if (dispatch.path() == null) {
                hops.add(get(dispatch.target().id()));
            } else {
                dispatch.path()
                        .hops()
                        .forEach(h -> hops.add(get(h.target().entry().id())));
            }
            hops.forEach(m -> m.sends.add(timers.nowMillis()));
        }

        void tryRun() {
            Machine full = hops.stream()
                    .filter(m -> m.running >= m.entry.slots())
                    .findFirst()
                    .orElse(null);
            if (ended) {
                return;
            }
            if (hops.stream().anyMatch(m -> m.down)) {
                cancel();
                listener.onFailure(LinkFailure.UNREACHABLE);
            } else if (full == null) {
                run();
            } else if (full.refuses) {
                cancel();
                listener.onHead(head(503, full == hops.get(0) ? "" : full.entry.address()));
            } else if (!waiting.contains(this)) {
                waiting.add(this);
            }
        }

        private void run() {
            running = true;
            waiting.remove(this);
            hops.forEach(m -> m.running++);
            double slowness = hops.stream().mapToDouble(this::slowness).max().orElse(1);
            for (int part = 1; part <= parts; part++) {
                int number = part;
                timers.after(Math.round(part * hops.get(0).usualMillis * slowness), () -> write(number));
            }
        }

        private double slowness(Machine m) {
            double warmth = Math.min(1, (timers.nowMillis() - m.startedAt) / (double) m.warmUpMillis);
            return m.coldFactor + (1 - m.coldFactor) * warmth;
        }

        private void write(int part) {
            if (part == 1 && !ended) {
                listener.onHead(head(200, ""));
            }
            if (!ended) {
                listener.onBodyChunk(("id: " + part + "\ndata: t\n\n").getBytes(StandardCharsets.UTF_8));
            }
            if (part == parts && !ended) {
                hops.forEach(m -> m.completions.add(timers.nowMillis()));
                cancel();
                listener.onEnd();
            }
        }

        private TargetResponse head(int status, String fault) {
            Machine first = hops.get(0);
            long load = first.running
                    + waiting.stream().filter(j -> j.hops.get(0) == first).count();
            return new TargetResponse(status, status == 503, true, true, fault, load, false, UNLIMITED, 0, List.of());
        }

        @Override
        public void cancel() {
            waiting.remove(this);
            if (running && !ended) {
                hops.forEach(m -> m.running--);
                timers.after(0, () -> List.copyOf(waiting).forEach(Job::tryRun));
            }
            ended = true;
        }
    }

    @Override
    public Exchange send(Dispatch dispatch, Listener listener) {
        Job job = new Job(dispatch, listener);
        timers.after(1, job::tryRun);
        return job;
    }

    @Override
    public void probe(RegisteredTarget target, long timeoutMillis, Consumer<ProbeResult> onResult) {
        timers.after(
                2,
                () -> onResult.accept(ProbeResult.unanswered(get(target.id()).down ? Health.CRASHED : Health.ALIVE)));
    }
}
