package org.siskinlead.core.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.siskinlead.core.placement.Order;
import org.siskinlead.core.placement.OrderSender;
import org.siskinlead.core.platform.VmEntry;
import org.siskinlead.core.routing.LayerRange;
import org.siskinlead.core.routing.Target;
import org.siskinlead.core.serving.ServiceCall;
import org.siskinlead.core.serving.ServiceResult;
import org.siskinlead.core.serving.Step;
import org.siskinlead.core.serving.StepResult;
import org.siskinlead.core.serving.TargetTransport;

/** In-memory model engines and plain services that record everything they ran. */
public final class FakeTargets {
    public static final int LAYERS = 24;
    public static final String CRASH_MARKER = "crash-engine";
    private static final long MAX_STEP_MS = 8;
    private static final long LOAD_MS = 2_000;

    private final VirtualTime time;
    private final Random random;
    private final Map<String, Engine> engines = new LinkedHashMap<>();
    private final Map<String, Service> services = new LinkedHashMap<>();
    public final Map<String, Integer> executionsByKey = new HashMap<>();
    public final Map<String, Integer> executionsByRequest = new HashMap<>();
    public final Set<String> executedSteps = new HashSet<>();
    public final List<String> violations = new ArrayList<>();
    public final Map<String, Integer> crashesByPrompt = new HashMap<>();
    /** Time for which the process of a crashed engine still accepts connections, without answering. */
    public long crashLingerMillis;

    public final List<Order> orders = new ArrayList<>();
    /** VM of the daemon that sent each of the orders. */
    public final List<String> orderSenders = new ArrayList<>();

    public boolean ignoreFencing;
    public long orderDelayMillis = 2;
    public double mismatchedAnswerProbability;
    public double lostServiceAnswerProbability;

    /** Model engine that holds a range of layers. */
    public static final class Engine {
        final String id;
        LayerRange layers;
        public boolean dead;
        public boolean frozen;
        public boolean leaving;
        public boolean declinesSteps;
        int prefillsWhileLeaving;
        private long lingersUntilMillis;
        long incarnation = 1;
        long highestFencingToken;
        final Map<String, Integer> nextPosition = new HashMap<>();
        final Map<String, String> context = new HashMap<>();
        final List<Runnable> deferredWork = new ArrayList<>();

        Engine(String id, LayerRange layers) {
            this.id = id;
            this.layers = layers;
        }
    }

    /** Plain service. */
    public static final class Service {
        final String id;
        public boolean dead;

        Service(String id) {
            this.id = id;
        }
    }

    FakeTargets(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
        for (int i = 0; i < 4; i++) {
            addEngine("first-" + i, 0, 12);
            addEngine("second-" + i, 12, LAYERS);
        }
        services.put("service-0", new Service("service-0"));
        services.put("service-1", new Service("service-1"));
    }

    private void addEngine(String id, int from, int to) {
        engines.put(id, new Engine(id, new LayerRange(from, to)));
    }

    public List<Engine> engines() {
        return List.copyOf(engines.values());
    }

    public List<Service> services() {
        return List.copyOf(services.values());
    }

    /** Counts the prefill steps sent to an engine while it was leaving. */
    public int prefillsWhileLeaving(Engine engine) {
        return engine.prefillsWhileLeaving;
    }

    public void kill(Engine engine) {
        engine.dead = true;
        engine.frozen = false;
        engine.deferredWork.clear();
    }

    public void restart(Engine engine) {
        engine.dead = false;
        engine.incarnation++;
        engine.nextPosition.clear();
        engine.context.clear();
    }

    public void thaw(Engine engine) {
        engine.frozen = false;
        List<Runnable> waiting = new ArrayList<>(engine.deferredWork);
        engine.deferredWork.clear();
        waiting.forEach(Runnable::run);
    }

    List<VmEntry> vms() {
        List<VmEntry> vms = new ArrayList<>();
        engines.keySet().forEach(id -> vms.add(vm(id, VmEntry.Role.ENGINE, "")));
        services.keySet().forEach(id -> vms.add(vm(id, VmEntry.Role.SERVICE, "bookings")));
        return vms;
    }

    private static VmEntry vm(String id, VmEntry.Role role, String service) {
        return new VmEntry(id, id, "east", role, service, VmEntry.State.LIVE);
    }

    List<Target> reports() {
        return engines.values().stream()
                .filter(e -> !e.dead && !e.frozen)
                .map(e -> new Target(
                        e.id, e.incarnation, e.id, "east", "standard", "m", "v1", e.layers, LAYERS, 400, 0, e.leaving))
                .toList();
    }

    /** Computes all tokens of the answer that a correct pipeline gives. */
    public static List<String> expectedTokens(String prompt, int tokens) {
        List<String> answer = new ArrayList<>();
        String context = prompt;
        for (int i = 0; i < tokens; i++) {
            String activation = context;
            for (LayerRange range : List.of(new LayerRange(0, 12), new LayerRange(12, LAYERS))) {
                activation = computeActivation(activation, range);
            }
            answer.add(activation);
            context = context + " " + activation;
        }
        return answer;
    }

    private static String computeActivation(String input, LayerRange layers) {
        int hash = input.hashCode();
        for (int layer = layers.from(); layer < layers.to(); layer++) {
            hash = hash * 31 + layer;
        }
        return Integer.toHexString(hash);
    }

    /** Sends orders to engines; an engine that ignores fencing tokens also executes orders that arrive late. */
    OrderSender ordersOf(TestHost host) {
        return (order, onAnswer) -> time.after(orderDelayMillis, () -> {
            Engine engine = engines.get(order.target().id());
            boolean taken = !engine.dead && (ignoreFencing || order.fencingToken() >= engine.highestFencingToken);
            orders.add(order);
            orderSenders.add(host.vm());
            if (taken) {
                engine.highestFencingToken = Math.max(engine.highestFencingToken, order.fencingToken());
                engine.leaving = true;
                time.after(LOAD_MS, () -> finishLoading(engine, order.layers()));
            }
            OrderSender.Answer answer = taken ? OrderSender.Answer.TAKEN : OrderSender.Answer.REFUSED;
            host.dispatch(() -> onAnswer.accept(answer));
        });
    }

    private static void finishLoading(Engine engine, LayerRange layers) {
        engine.layers = layers;
        engine.nextPosition.clear();
        engine.leaving = false;
    }

    public String vmOf(Engine engine) {
        return engine.id;
    }

    TargetTransport clientOf(TestHost host) {
        return new TargetTransport() {
            @Override
            public void step(Target target, Step step, long timeout, Consumer<StepResult> onResult) {
                sendStep(host, target, step, timeout, onResult);
            }

            @Override
            public void cancel(Target target, String request, int attempt) {
                engines.get(target.id()).nextPosition.remove(request + "#" + attempt);
            }

            @Override
            public void probe(Target target, Consumer<Liveness> onLiveness) {
                Engine engine = engines.get(target.id());
                boolean dead = engine.dead || engine.incarnation != target.incarnation();
                boolean lingering = time.now() < engine.lingersUntilMillis;
                Liveness found = dead && !lingering
                        ? Liveness.DEAD
                        : lingering || engine.frozen ? Liveness.SILENT : Liveness.ALIVE;
                time.after(engine.frozen ? 400 : 2, () -> host.dispatch(() -> onLiveness.accept(found)));
            }

            @Override
            public void call(VmEntry vm, ServiceCall call, long timeout, Consumer<ServiceResult> onResult) {
                sendCall(host, vm, call, timeout, onResult);
            }
        };
    }

    private void sendStep(TestHost host, Target target, Step step, long timeout, Consumer<StepResult> onResult) {
        boolean[] ended = new boolean[1];
        Consumer<StepResult> completeOnce = result -> host.dispatch(() -> {
            if (!ended[0]) {
                ended[0] = true;
                onResult.accept(result);
            }
        });
        Engine engine = engines.get(target.id());
        if (engine.dead) {
            time.after(1, () -> completeOnce.accept(new StepResult.NotSent()));
            return;
        }
        time.after(timeout, () -> completeOnce.accept(new StepResult.TimedOut()));
        long incarnation = engine.incarnation;
        Runnable work = () -> {
            if (engine.dead || engine.incarnation != incarnation) {
                completeOnce.accept(new StepResult.ConnectionLost());
            } else {
                completeOnce.accept(execute(engine, step));
            }
        };
        time.after(1 + random.nextInt((int) MAX_STEP_MS), () -> {
            if (engine.frozen) {
                engine.deferredWork.add(work);
            } else {
                work.run();
            }
        });
    }

    private StepResult execute(Engine engine, Step step) {
        if (step.input().contains(CRASH_MARKER)) {
            kill(engine);
            engine.lingersUntilMillis = time.now() + crashLingerMillis;
            crashesByPrompt.merge(step.input(), 1, Integer::sum);
            return new StepResult.ConnectionLost();
        }
        if (engine.leaving && step.prefill()) {
            engine.prefillsWhileLeaving++;
        }
        if (engine.declinesSteps || !step.layers().equals(engine.layers) || (engine.leaving && step.prefill())) {
            return new StepResult.Declined("engine holds other layers, or is leaving");
        }
        String key = step.request() + "#" + step.attempt();
        Integer next = engine.nextPosition.get(key);
        if (!step.prefill() && (next == null || next != step.position())) {
            return new StepResult.Declined("no state at this position");
        }
        engine.nextPosition.put(key, step.position() + 1);
        String ran = key + "@" + step.position() + ":" + step.layers();
        if (!executedSteps.add(ran)) {
            violations.add("layers ran twice for one step: " + ran);
        }
        executionsByRequest.merge(step.request(), 1, Integer::sum);
        String input = step.input();
        if (engine.layers.from() == 0) {
            input = step.prefill() ? input : engine.context.get(key) + " " + input;
            engine.context.put(key, input);
        }
        String request = random.nextDouble() < mismatchedAnswerProbability ? "another" : step.request();
        return new StepResult.Answered(
                request, step.attempt(), step.position(), "v1", engine.layers, computeActivation(input, engine.layers));
    }

    private void sendCall(TestHost host, VmEntry vm, ServiceCall call, long timeout, Consumer<ServiceResult> onResult) {
        Service service = services.get(vm.id());
        if (service.dead) {
            time.after(1, () -> host.dispatch(() -> onResult.accept(new ServiceResult.NotSent())));
            return;
        }
        time.after(2 + random.nextInt(30), () -> {
            executionsByKey.merge(call.team() + "/" + call.key(), 1, Integer::sum);
            executionsByRequest.merge(call.request(), 1, Integer::sum);
            if (random.nextDouble() < lostServiceAnswerProbability) {
                time.after(timeout, () -> host.dispatch(() -> onResult.accept(new ServiceResult.NoAnswer())));
            } else {
                time.after(
                        1,
                        () -> host.dispatch(
                                () -> onResult.accept(new ServiceResult.Answered(200, "done " + call.request()))));
            }
        });
    }
}
