package org.siskinlead.core.fakes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.platform.Versioned;
import org.siskinlead.core.platform.WriteOutcome;
import org.siskinlead.core.platform.WriteResult;

/** In-memory key-value service with injectable outages, delays, stale reads and lost answers. */
public final class FakeStore {
    private static final long TIMEOUT_MS = 800;

    private final VirtualTime time;
    private final Random random;
    private final Map<String, Versioned<Object>> values = new HashMap<>();
    private final Map<String, Versioned<Object>> previousValues = new HashMap<>();
    private final Set<String> disconnectedVms = new HashSet<>();
    private long lastVersion;
    public boolean outage;
    public boolean staleReads;
    public double answerLossProbability;
    public long maxExtraDelayMillis;
    public long writes;
    public long reads;

    FakeStore(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    public void disconnect(String vm) {
        disconnectedVms.add(vm);
    }

    public void heal() {
        disconnectedVms.clear();
    }

    KeyValueStore clientOf(TestHost host) {
        return new KeyValueStore() {
            @Override
            public <T> void read(String key, Class<T> type, Consumer<Versioned<T>> onValue, Runnable onFailure) {
                reads++;
                call(host, () -> lookUp(key, type), onValue, onFailure);
            }

            @Override
            public void compareAndSet(String key, long expected, Object value, Consumer<WriteResult> onResult) {
                writes++;
                call(
                        host,
                        () -> write(key, expected, value),
                        onResult,
                        () -> onResult.accept(new WriteResult(WriteOutcome.UNKNOWN, 0)));
            }
        };
    }

    private interface Operation<T> {
        T apply();
    }

    /** Delivers a call to the store and its answer back to the host; both directions may be delayed or fail. */
    private <T> void call(TestHost host, Operation<T> effect, Consumer<T> onAnswer, Runnable onFailure) {
        boolean[] answered = new boolean[1];
        time.after(
                TIMEOUT_MS,
                () -> host.dispatch(() -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        onFailure.run();
                    }
                }));
        time.after(delay(), () -> {
            if (outage || disconnectedVms.contains(host.vm())) {
                return;
            }
            T answer = effect.apply();
            if (random.nextDouble() < answerLossProbability) {
                return;
            }
            time.after(
                    delay(),
                    () -> host.dispatch(() -> {
                        if (!answered[0]) {
                            answered[0] = true;
                            onAnswer.accept(answer);
                        }
                    }));
        });
    }

    private long delay() {
        return 1 + random.nextInt(3) + (maxExtraDelayMillis == 0 ? 0 : random.nextInt((int) maxExtraDelayMillis));
    }

    private <T> Versioned<T> lookUp(String key, Class<T> type) {
        Versioned<Object> none = new Versioned<>(0, null);
        Versioned<Object> latest = values.getOrDefault(key, none);
        Versioned<Object> read = staleReads && random.nextBoolean() ? previousValues.getOrDefault(key, latest) : latest;
        return new Versioned<>(read.version(), type.cast(read.value()));
    }

    private WriteResult write(String key, long expected, Object value) {
        Versioned<Object> old = values.get(key);
        if (expected != (old == null ? 0 : old.version())) {
            return new WriteResult(WriteOutcome.CONFLICT, 0);
        }
        if (old != null) {
            previousValues.put(key, old);
        }
        lastVersion++;
        values.put(key, new Versioned<>(lastVersion, value));
        return new WriteResult(WriteOutcome.WRITTEN, lastVersion);
    }
}
