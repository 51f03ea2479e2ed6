package org.siskinlead.daemon;

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
import org.apache.logging.log4j.layout.template.json.JsonTemplateLayout;
import org.jspecify.annotations.Nullable;

/**
 * Sets up the logs: JSON lines on standard output, written by a thread of their own. When standard output is slow and
 * the buffer is full, lines are dropped and counted. Set up in code, because reading it from XML took half of a daemon's start.
 */
public final class LogSetup {
    /** Lines that wait for standard output before further ones are dropped: five seconds at the bound on the rate. */
    private static final int BUFFERED_LINES = 2_048;

    /** Room kept free in the buffer, so that threads that log at one moment never find it full, which would block them. */
    private static final int RESERVED_LINES = 64;

    private static final String OUTPUT_APPENDER = "stdout";
    private static final LongAdder DROPPED = new LongAdder();

    private LogSetup() {}

    /**
     * Sets up the logs; call it before any logger is made.
     * @param level least level of the lines that are written
     */
    public static void install(Level level) {
        Configurator.initialize(new JsonLinesConfiguration(level));
    }

    /**
     * Counts the lines that were dropped because standard output did not take them.
     * @return lines since the start
     */
    public static long dropped() {
        return DROPPED.sum();
    }

    /**
     * Keeps lines from a full buffer. The buffer itself would report each of them on standard error, and wait there when
     * nobody reads that either.
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
            AsyncAppender buffer = AsyncAppender.newBuilder()
                    .setName("buffer")
                    .setBlocking(false)
                    .setBufferSize(BUFFERED_LINES)
                    .setAppenderRefs(new AppenderRef[] {AppenderRef.createAppenderRef(OUTPUT_APPENDER, null, null)})
                    .setConfiguration(this)
                    .build();
            fullBufferFilter.appender = buffer;
            buffer.addFilter(fullBufferFilter);
            buffer.start();
            addAppender(buffer);
            getRootLogger().addAppender(buffer, null, null);
            getRootLogger().setLevel(level);
        }

        @Override
        protected void setToDefault() {
            // Everything is set in doConfigure.
        }
    }
}
