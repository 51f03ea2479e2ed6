package org.siskinlead.daemon;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Creates a logger when it is first used. Setting up logging takes half of the processor time of a start, so nothing that
 * a daemon needs before it serves may create a logger.
 */
public final class LazyLogger {
    private final String name;
    private volatile @Nullable Logger logger;

    private LazyLogger(String name) {
        this.name = name;
    }

    /**
     * Creates a lazy logger named after a class.
     * @param owner the class that logs
     * @return the logger
     */
    public static LazyLogger of(Class<?> owner) {
        return new LazyLogger(owner.getName());
    }

    static LazyLogger of(String name) {
        return new LazyLogger(name);
    }

    /**
     * Gets the logger; sets up logging if that has not been done.
     * @return the logger
     */
    public Logger get() {
        Logger created = logger;
        if (created == null) {
            LogSetup.installIfAbsent();
            created = LogManager.getLogger(name);
            logger = created;
        }
        return created;
    }
}
