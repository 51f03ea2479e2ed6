package org.siskinlead.daemon;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.filter.AbstractFilter;
import org.apache.logging.log4j.core.util.ShutdownCallbackRegistry;
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;
import org.jspecify.annotations.Nullable;

/**
 * Configures logging: JSON lines on standard output, written by a separate thread. When standard output is slow and the
 * buffer is full, lines are dropped and counted. Configured in code because parsing an XML configuration took half of
 * the daemon's start-up time.
 */
public final class LogSetup {
    /** Buffers five seconds of lines at the maximum rate of {@link EventLog}. */
    private static final int BUFFERED_LINES = 2_048;

    /** Kept free so that threads that log at the same moment never find the buffer full, which would block them. */
    private static final int RESERVED_LINES = 64;

    private static final String OUTPUT_APPENDER = "stdout";
    private static final AtomicBoolean INSTALLED = new AtomicBoolean();
    private static final LongAdder DROPPED = new LongAdder();
    private static volatile @Nullable AsyncAppender buffer;

    private LogSetup() {}

    /**
     * Configures logging; must be called before any logger is created.
     * @param level lowest level that is written
     */
    public static void install(Level level) {
        if (INSTALLED.compareAndSet(false, true)) {
            // The hook of the library cannot be added once the process is terminating, and logging would then fail.
            System.setProperty(ShutdownCallbackRegistry.SHUTDOWN_HOOK_ENABLED, "false");
            Configurator.initialize(new JsonLinesConfiguration(level));
        }
    }

    /** Configures logging for level INFO, unless it is configured. */
    public static synchronized void installIfAbsent() {
        install(Level.INFO);
    }

    /**
     * Counts the lines dropped because the buffer for standard output was full.
     * @return lines since the start
     */
    public static long dropped() {
        return DROPPED.sum();
    }

    /**
     * Writes the buffered lines, at the end of the process; later lines are dropped.
     * @param maxMillis longest time to wait for standard output, in milliseconds
     * @throws InterruptedException if interrupted while it waits
     */
    public static void flush(long maxMillis) throws InterruptedException {
        AsyncAppender current = buffer;
        if (current != null && maxMillis > 0) {
            Thread thread = new Thread(current::stop, "log-flush");
            thread.setDaemon(true);
            thread.start();
            thread.join(maxMillis);
        }
    }

    /**
     * Drops lines before the buffer is full. The appender itself would report each dropped line on standard error and
     * would block there when standard error is not read either.
     */
    private static final class FullBufferFilter extends AbstractFilter {
        private @Nullable AsyncAppender appender;

        @Override
        public Result filter(LogEvent event) {
            AsyncAppender asyncAppender = appender;
            if (asyncAppender == null || asyncAppender.getQueueRemainingCapacity() > RESERVED_LINES) {
                return Result.NEUTRAL;
            }
            DROPPED.increment();
            return Result.DENY;
        }
    }

    private static final class JsonLinesConfiguration extends AbstractConfiguration {
        private final Level level;

        JsonLinesConfiguration(Level level) {
            super(null, ConfigurationSource.NULL_SOURCE);
            this.level = level;
            isShutdownHookEnabled = false;
        }

        @Override
        protected void doConfigure() {
            Appender output = ConsoleAppender.newBuilder()
                    .setName(OUTPUT_APPENDER)
                    .setDirect(true)
                    .setLayout(JsonTemplateLayout.newBuilder()
                            .setConfiguration(this)
                            .setEventTemplateUri("classpath:log-event.json")
                            .build())
                    .setConfiguration(this)
                    .build();
            output.start();
            addAppender(output);
            FullBufferFilter fullBufferFilter = new FullBufferFilter();
            AsyncAppender asyncAppender = AsyncAppender.newBuilder()
                    .setName("buffer")
                    .setBlocking(false)
                    .setBufferSize(BUFFERED_LINES)
                    .setAppenderRefs(new AppenderRef[] {AppenderRef.createAppenderRef(OUTPUT_APPENDER, null, null)})
                    .setConfiguration(this)
                    .build();
            fullBufferFilter.appender = asyncAppender;
            asyncAppender.addFilter(fullBufferFilter);
            asyncAppender.start();
            addAppender(asyncAppender);
            getRootLogger().addAppender(asyncAppender, null, null);
            buffer = asyncAppender;
            getRootLogger().setLevel(level);
        }

        @Override
        protected void setToDefault() {
            // doConfigure sets all appenders and levels.
        }
    }
}
