package org.siskinlead.daemon.settings;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.siskinlead.protocol.http.Addresses;

/** Checked settings of a daemon. Flags go before environment variables, which go before defaults. */
public final class Settings {
    private final Map<Setting, String> values;
    private final Map<Setting, Origin> origins;
    private final Action action;

    /** What the command line asks for. */
    public enum Action {
        RUN,
        CHECK,
        HELP
    }

    private enum Origin {
        FLAG,
        ENVIRONMENT,
        DEFAULT
    }

    private Settings(Map<Setting, String> values, Map<Setting, Origin> origins, Action action) {
        this.values = values;
        this.origins = origins;
        this.action = action;
    }

    /**
     * Reads and checks settings.
     * @param arguments command line
     * @param environment environment variables
     * @return the settings
     * @throws SettingsException naming every fault
     */
    public static Settings read(String[] arguments, Map<String, String> environment) {
        OptionParser parser = parser();
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException e) {
            throw SettingsException.of(List.of(String.valueOf(e.getMessage())));
        }
        if (options.has("help")) {
            return new Settings(Map.of(), Map.of(), Action.HELP);
        }
        Map<Setting, String> values = new EnumMap<>(Setting.class);
        Map<Setting, Origin> origins = new EnumMap<>(Setting.class);
        List<String> errors = new ArrayList<>();
        options.nonOptionArguments().forEach(a -> errors.add("\"" + a + "\" is not a flag"));
        for (Setting setting : Setting.values()) {
            resolve(setting, options, environment, values, origins);
            setting.validate(values.getOrDefault(setting, "")).ifPresent(errors::add);
        }
        if (!errors.isEmpty()) {
            throw SettingsException.of(errors);
        }
        return new Settings(values, origins, options.has("check") ? Action.CHECK : Action.RUN);
    }

    /**
     * Prints the flags.
     * @param out where to print
     * @throws IOException when printing fails
     */
    public static void printHelp(OutputStream out) throws IOException {
        parser().printHelpOn(out);
    }

    /**
     * Gets what the command line asks for.
     * @return the action
     */
    public Action action() {
        return action;
    }

    /**
     * Lists the settings in force and where each came from.
     * @return one line each
     */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        values.forEach((setting, value) -> {
            String shown = setting == Setting.PEER_KEY ? "(hidden)" : value;
            lines.add(setting.flag() + "=" + shown + " from "
                    + String.valueOf(origins.get(setting)).toLowerCase(java.util.Locale.ROOT));
        });
        return lines;
    }

    /**
     * Gets the name of this VM.
     * @return the name
     */
    public String vm() {
        return value(Setting.VM);
    }

    /**
     * Gets the data centre of this VM.
     * @return the data centre
     */
    public String dataCentre() {
        return value(Setting.DATA_CENTRE);
    }

    /**
     * Gets where callers connect.
     * @return IP number and port
     */
    public String entryAddress() {
        return value(Setting.ENTRY_ADDRESS);
    }

    /**
     * Gets where other daemons connect.
     * @return IP number and port
     */
    public String peerAddress() {
        return value(Setting.PEER_ADDRESS);
    }

    /**
     * Gets the address of the platform's service.
     * @return the address
     */
    public InetSocketAddress platform() {
        return Addresses.parse(value(Setting.PLATFORM));
    }

    /**
     * Gets the hash of the operators' credential.
     * @return SHA-256 in hexadecimal
     */
    public String operatorTokenSha256() {
        return value(Setting.OPERATOR_TOKEN_SHA256);
    }

    /**
     * Gets the key shared by all daemons.
     * @return the key
     */
    public String peerKey() {
        return value(Setting.PEER_KEY);
    }

    /**
     * Gets how targets are chosen.
     * @return name of the selector
     */
    public String selector() {
        return value(Setting.SELECTOR);
    }

    /**
     * Gets the least level logged.
     * @return name of the level
     */
    public String logLevel() {
        return value(Setting.LOG_LEVEL);
    }

    private String value(Setting setting) {
        String value = values.get(setting);
        if (value == null) {
            throw new IllegalStateException("--" + setting.flag() + " has no value");
        }
        return value;
    }

    private static OptionParser parser() {
        OptionParser parser = new OptionParser();
        parser.accepts("help", "print this help");
        parser.accepts("check", "print the settings in force and their origin, then exit");
        for (Setting setting : Setting.values()) {
            parser.accepts(setting.flag(), setting.description() + "; environment: " + setting.environmentVariable())
                    .withRequiredArg();
        }
        return parser;
    }

    private static void resolve(
            Setting setting,
            OptionSet options,
            Map<String, String> environment,
            Map<Setting, String> values,
            Map<Setting, Origin> origins) {
        String fromEnvironment = environment.get(setting.environmentVariable());
        if (options.has(setting.flag())) {
            List<?> given = options.valuesOf(setting.flag());
            values.put(setting, String.valueOf(given.get(given.size() - 1)));
            origins.put(setting, Origin.FLAG);
        } else if (fromEnvironment != null) {
            values.put(setting, fromEnvironment);
            origins.put(setting, Origin.ENVIRONMENT);
        } else {
            values.put(setting, setting.defaultValue());
            origins.put(setting, Origin.DEFAULT);
        }
    }
}
