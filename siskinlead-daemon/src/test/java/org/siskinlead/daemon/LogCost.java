package org.siskinlead.daemon;

import java.lang.management.ManagementFactory;
import java.util.Locale;
import org.apache.logging.log4j.Level;
import org.siskinlead.core.timeline.EventKind;
import org.siskinlead.core.timeline.HybridClock;
import org.siskinlead.core.timeline.Timeline;

/**
 * Measures the CPU time per log line by comparing a loop that logs request events at a given rate with the same loop
 * without logging. Arguments: seconds, lines per second. Prints to standard error, because the log goes to standard
 * output.
 */
public final class LogCost {
    private static final int WARM_UP_SECONDS = 5;
    private static final int BATCHES_PER_SECOND = 100;
    private static final long BATCH_MS = 10;

    private LogCost() {}

    public static void main(String[] arguments) throws InterruptedException {
        int seconds = Integer.parseInt(arguments[0]);
        int linesPerSecond = Integer.parseInt(arguments[1]);
        LogSetup.install(Level.INFO);
        Timeline loggedTimeline = Timeline.of("vm", HybridClock.of(System::currentTimeMillis), EventLog::write);
        Timeline unloggedTimeline = Timeline.of("vm", HybridClock.of(System::currentTimeMillis), event -> {});
        measureCores(loggedTimeline, WARM_UP_SECONDS, linesPerSecond);
        double coresWithout = measureCores(unloggedTimeline, seconds, linesPerSecond);
        double coresWith = measureCores(loggedTimeline, seconds, linesPerSecond);
        System.err.printf(
                Locale.ROOT,
                "%d lines per second: %.4f cores without logging, %.4f with, %.1f us per line, %d lines dropped%n",
                linesPerSecond,
                coresWithout,
                coresWith,
                (coresWith - coresWithout) / linesPerSecond * 1e6,
                EventLog.dropped() + LogSetup.dropped());
    }

    /** Returns the CPU time used per second of elapsed time, in cores. */
    private static double measureCores(Timeline timeline, int seconds, int linesPerSecond) throws InterruptedException {
        long startCpuNanos = cpuNanos();
        long startNanos = System.nanoTime();
        for (int batch = 0; batch < seconds * BATCHES_PER_SECOND; batch++) {
            for (int line = 0; line < linesPerSecond / BATCHES_PER_SECOND; line++) {
                timeline.record(
                        EventKind.REQUEST_SENT,
                        "request",
                        "955001ac391e1e24",
                        "attempt",
                        1,
                        "afterEvent",
                        batch,
                        "leftMs",
                        19_058,
                        "target",
                        "i-a9f334d0cf=0-25 i-3b0c5f563c=25-37 i-2e2e855477=37-44 i-52e1f58985=44-51");
            }
            Thread.sleep(BATCH_MS);
        }
        return (cpuNanos() - startCpuNanos) / (double) (System.nanoTime() - startNanos);
    }

    private static long cpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }
}
