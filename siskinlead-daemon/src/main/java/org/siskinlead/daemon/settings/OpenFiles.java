package org.siskinlead.daemon.settings;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** Finds out how many sockets the limit on open files of this process leaves. */
final class OpenFiles {
    /** Descriptors for files, such as the libraries of the program. */
    private static final int FILE_DESCRIPTORS = 96;
    /** Limit of a process that cannot tell its own. */
    private static final long DEFAULT_DESCRIPTORS = 4_096;

    private OpenFiles() {}

    static int maxSockets() {
        long descriptors = ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount()
                : DEFAULT_DESCRIPTORS;
        return (int) Math.min(Integer.MAX_VALUE, descriptors - FILE_DESCRIPTORS);
    }
}
