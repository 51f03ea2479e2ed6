package org.siskinlead.daemon.loop;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventPoller;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.siskinlead.core.time.Timer;
import org.siskinlead.core.time.Timers;
import org.siskinlead.daemon.LazyLogger;

/**
 * Runs all tasks that read or change the daemon's state on one thread, the decision thread, in the order in which they
 * were published to a ring buffer. It is either a dedicated thread or a network thread that also runs these tasks: on
 * VMs with a fraction of a core, handing over between two threads costs more than most tasks.
 */
public final class DecisionLoop implements Timers, AutoCloseable {
    private static final LazyLogger LOG = LazyLogger.of(DecisionLoop.class);
    private static final int RING_SLOTS = 16_384;
    private static final long NANOS_PER_MS = 1_000_000;

    private final RingBuffer<Slot> ring;
    private final ScheduledExecutorService scheduler;
    private final Runnable wake;
    private final Runnable stop;
    private final Overflow overflow;

    private DecisionLoop(
            RingBuffer<Slot> ring,
            Overflow overflow,
            ScheduledExecutorService scheduler,
            Runnable wake,
            Runnable stop) {
        this.ring = ring;
        this.overflow = overflow;
        this.scheduler = scheduler;
        this.wake = wake;
        this.stop = stop;
    }

    /**
     * Starts a loop on a dedicated thread.
     * @return the loop
     */
    public static DecisionLoop start() {
        AtomicReference<@Nullable Thread> decisionThread = new AtomicReference<>();
        ThreadFactory decisions = task -> {
            Thread thread = daemonThread(task, "decisions");
            decisionThread.set(thread);
            return thread;
        };
        Overflow overflow = Overflow.of(() -> Thread.currentThread().equals(decisionThread.get()));
        Disruptor<Slot> disruptor =
                new Disruptor<>(Slot::new, RING_SLOTS, decisions, ProducerType.MULTI, new BlockingWaitStrategy());
        disruptor.handleEventsWith((slot, sequence, endOfBatch) -> {
            slot.runSafely();
            if (endOfBatch && sequence >= overflow.afterSequence) {
                overflow.runAll();
            }
        });
        disruptor.setDefaultExceptionHandler(new LoggingExceptionHandler());
        ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(1, task -> daemonThread(task, "timers"));
        timers.setRemoveOnCancelPolicy(true);
        return new DecisionLoop(disruptor.start(), overflow, timers, () -> {}, () -> {
            timers.shutdownNow();
            disruptor.halt();
        });
    }

    /**
     * Creates a loop that runs its tasks on a network thread. Closing it does not stop that thread.
     * @param eventLoop event loop of the network thread
     * @return the loop
     */
    public static DecisionLoop on(EventLoop eventLoop) {
        RingBuffer<Slot> ring = RingBuffer.createMultiProducer(Slot::new, RING_SLOTS, new BlockingWaitStrategy());
        EventPoller<Slot> poller = ring.newPoller();
        ring.addGatingSequences(poller.getSequence());
        AtomicBoolean pollScheduled = new AtomicBoolean();
        Overflow overflow = Overflow.of(eventLoop::inEventLoop);
        Runnable poll = () -> {
            pollScheduled.set(false);
            runPending(poller, overflow);
        };
        Runnable wake = () -> {
            if (pollScheduled.compareAndSet(false, true)) {
                eventLoop.execute(poll);
            }
        };
        return new DecisionLoop(ring, overflow, eventLoop, wake, () -> {});
    }

    private static void runPending(EventPoller<Slot> poller, Overflow overflow) {
        try {
            EventPoller.PollState state = EventPoller.PollState.PROCESSING;
            while (state == EventPoller.PollState.PROCESSING) {
                state = poller.poll((slot, sequence, endOfBatch) -> {
                    slot.runSafely();
                    return true;
                });
            }
            overflow.runAll();
        } catch (Exception e) {
            LOG.get().error("polling the ring buffer failed", e);
        }
    }

    /**
     * Publishes a task. Blocks while the ring buffer is full, except on the decision thread itself, which would wait for
     * itself to empty the buffer.
     * @param task task to run on the decision thread
     */
    public void publish(Runnable task) {
        if (!overflow.takesFromThisThread()) {
            ring.publishEvent((slot, sequence) -> slot.task = task);
        } else if (!overflow.isEmpty() || !ring.tryPublishEvent((slot, sequence) -> slot.task = task)) {
            overflow.add(task, ring.getCursor());
        }
        wake.run();
    }

    /**
     * Publishes a task unless at most a quarter of the ring buffer is free.
     * @param task task to run on the decision thread
     * @return false when the task was not published
     */
    public boolean tryPublish(Runnable task) {
        boolean published =
                ring.remainingCapacity() > RING_SLOTS / 4 && ring.tryPublishEvent((slot, sequence) -> slot.task = task);
        wake.run();
        return published;
    }

    /**
     * Counts the free slots of the ring buffer.
     * @return number of free slots
     */
    public long freeSlots() {
        return ring.remainingCapacity();
    }

    @Override
    public long nowMillis() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Timer after(long delayMillis, Runnable task) {
        try {
            Future<?> scheduled = scheduler.schedule(() -> publish(task), delayMillis, TimeUnit.MILLISECONDS);
            return () -> scheduled.cancel(false);
        } catch (RejectedExecutionException e) {
            LOG.get().debug("timer not scheduled because the scheduler is shut down", e);
            return () -> {};
        }
    }

    @Override
    public void close() {
        stop.run();
    }

    /** Tasks that the decision thread published while the ring buffer was full; they run after those in the buffer. */
    private static final class Overflow {
        private final BooleanSupplier onDecisionThread;
        private final Deque<Runnable> tasks = new ArrayDeque<>();
        /** Sequence in the ring buffer of the last task that was published before the oldest one here. */
        private long afterSequence;

        private Overflow(BooleanSupplier onDecisionThread) {
            this.onDecisionThread = onDecisionThread;
        }

        /** Creates an overflow for a loop whose thread may publish while the buffer is full. */
        static Overflow of(BooleanSupplier onDecisionThread) {
            return new Overflow(onDecisionThread);
        }

        boolean takesFromThisThread() {
            return onDecisionThread.getAsBoolean();
        }

        boolean isEmpty() {
            return tasks.isEmpty();
        }

        void add(Runnable task, long lastSequence) {
            if (tasks.isEmpty()) {
                afterSequence = lastSequence;
            }
            tasks.add(task);
        }

        /** Runs all tasks, also those that they add. */
        void runAll() {
            while (!tasks.isEmpty()) {
                new Slot(tasks.remove()).runSafely();
            }
        }
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = Executors.defaultThreadFactory().newThread(task);
        thread.setName(name);
        thread.setDaemon(true);
        return thread;
    }

    private static final class Slot {
        private @Nullable Runnable task;

        Slot() {}

        Slot(Runnable task) {
            this.task = task;
        }

        void run() {
            Runnable current = task;
            task = null;
            if (current != null) {
                current.run();
            }
        }

        /** Runs the task and logs its exception, so that the loop continues with the next task. */
        void runSafely() {
            try {
                run();
            } catch (RuntimeException e) {
                LOG.get().error("uncaught exception in a task on the decision thread", e);
            }
        }
    }

    private static final class LoggingExceptionHandler implements ExceptionHandler<Slot> {
        @Override
        public void handleEventException(Throwable thrown, long sequence, Slot slot) {
            LOG.get().error("uncaught exception in a task on the decision thread", thrown);
        }

        @Override
        public void handleOnStartException(Throwable thrown) {
            LOG.get().error("decision thread failed to start", thrown);
        }

        @Override
        public void handleOnShutdownException(Throwable thrown) {
            LOG.get().error("decision thread failed while stopping", thrown);
        }
    }
}
