package org.siskinlead.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.util.Locale;
import org.apache.logging.log4j.Level;
import org.siskinlead.daemon.settings.Settings;
import org.siskinlead.daemon.settings.SettingsException;

/** Entry point of {@code siskinleadd}. */
public final class Main {
    private static final int EXIT_USAGE_ERROR = 2;
    private static final int EXIT_FAILURE = 1;

    private Main() {}

    /**
     * Runs the daemon and exits with 0 on success, 1 when it cannot listen, or 2 when the settings are invalid.
     * @param arguments command line
     * @throws Exception when the daemon cannot start for another reason
     */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments, System.out, System.err));
    }

    private static int run(String[] arguments, PrintStream out, PrintStream err)
            throws IOException, InterruptedException {
        Settings settings;
        try {
            settings = Settings.read(arguments, System.getenv());
        } catch (SettingsException e) {
            e.errors().forEach(error -> err.println("siskinleadd: " + error));
            return EXIT_USAGE_ERROR;
        }
        switch (settings.action()) {
            case HELP -> Settings.printHelp(out);
            case CHECK -> settings.describe().forEach(out::println);
            case RUN -> {
                return runDaemon(settings, err);
            }
        }
        return 0;
    }

    private static int runDaemon(Settings settings, PrintStream err) throws InterruptedException {
        LogSetup.install(Level.toLevel(settings.logLevel().toUpperCase(Locale.ROOT)));
        try {
            Daemon.run(settings);
            return 0;
        } catch (Exception e) {
            // Netty throws BindException without declaring it, so a catch clause for it would not compile.
            if (!(e instanceof BindException)) {
                throw e;
            }
            err.println("siskinleadd: cannot listen: " + e.getMessage());
            return EXIT_FAILURE;
        }
    }
}
