package org.siskinlead.core.membership;

import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.platform.KeyValueStore;
import org.siskinlead.core.platform.Versioned;
import org.siskinlead.core.platform.WriteOutcome;
import org.siskinlead.core.time.Timers;

/**
 * Changes the head record by compare-and-swap. Each write adds an identifier to the record, so that a later read tells
 * whether an unanswered write took effect.
 */
final class HeadStore {
    /** Key of the head record. */
    static final String KEY = "head";

    private static final long RETRY_DELAY_MS = 50;
    private static final long CHANGE_TIMEOUT_MS = 3_000;

    private final KeyValueStore store;
    private final Timers timers;
    private final Supplier<String> writeIds;

    HeadStore(KeyValueStore store, Timers timers, Supplier<String> writeIds) {
        this.store = store;
        this.timers = timers;
        this.writeIds = writeIds;
    }

    /** Reads the stored head, which may be stale; nothing happens when the store does not answer. */
    void read(Consumer<Head> onHead) {
        store.read(KEY, Head.class, v -> onHead.accept(orEmpty(v)), () -> {});
    }

    /** Applies a change to the stored head, with retries; a change that returns null no longer applies. */
    void change(Function<Head, @Nullable Head> change, Consumer<Head> onStored, Consumer<ChangeOutcome> onOutcome) {
        new Attempt(change, onStored, onOutcome).run();
    }

    private static Head orEmpty(Versioned<Head> read) {
        Head value = read.value();
        return value == null ? Head.EMPTY : value;
    }

    private final class Attempt {
        private final Function<Head, @Nullable Head> change;
        private final Consumer<Head> onStored;
        private final Consumer<ChangeOutcome> onOutcome;
        private final String writeId = writeIds.get();
        private final long startedAt = timers.nowMillis();
        private boolean writeUnanswered;

        Attempt(Function<Head, @Nullable Head> change, Consumer<Head> onStored, Consumer<ChangeOutcome> onOutcome) {
            this.change = change;
            this.onStored = onStored;
            this.onOutcome = onOutcome;
        }

        void run() {
            store.read(KEY, Head.class, this::onRead, this::retry);
        }

        private void onRead(Versioned<Head> read) {
            Head current = orEmpty(read);
            if (current.hasWriteId(writeId)) {
                succeed(current);
                return;
            }
            Head next = change.apply(current);
            if (next == null) {
                onOutcome.accept(writeUnanswered ? ChangeOutcome.UNKNOWN : ChangeOutcome.CONFLICT);
                return;
            }
            Head updated = next.withWriteId(writeId);
            store.compareAndSet(KEY, read.version(), updated, result -> onWrite(result.outcome(), updated));
        }

        private void onWrite(WriteOutcome outcome, Head written) {
            if (outcome == WriteOutcome.WRITTEN) {
                succeed(written);
                return;
            }
            writeUnanswered |= outcome == WriteOutcome.UNKNOWN;
            retry();
        }

        private void succeed(Head stored) {
            onStored.accept(stored);
            onOutcome.accept(ChangeOutcome.STORED);
        }

        private void retry() {
            if (timers.nowMillis() - startedAt < CHANGE_TIMEOUT_MS) {
                timers.after(RETRY_DELAY_MS, this::run);
            } else {
                onOutcome.accept(writeUnanswered ? ChangeOutcome.UNKNOWN : ChangeOutcome.NOT_STORED);
            }
        }
    }
}
