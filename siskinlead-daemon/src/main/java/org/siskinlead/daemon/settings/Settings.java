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

/** Validated settings of a daemon. Flags override environment variables, which override defaults. */
public final class Settings {
    private final Map<Setting, String> values;
    private final Map<Setting, Origin> origins;
    private final Action action;

    /** Action requested on the command line. */
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
     * Reads and validates the settings.
     * @param arguments command line
     * @param environment environment variables by name
     * @return the settings, without values when the action is {@link Action#HELP}
     * @throws SettingsException if a flag cannot be parsed, which is then the only error; or if values are invalid or
     *     arguments are not flags, with all of them listed
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
     * Prints the flags with their descriptions.
     * @param out stream to print to
     * @throws IOException when writing to the stream fails
     */
    public static void printHelp(OutputStream out) throws IOException {
        parser().printHelpOn(out);
    }

    /**
     * Gets the action requested on the command line.
     * @return the action
     */
    public Action action() {
        return action;
    }

    /**
     * Lists the effective settings with their origin; the peer key is hidden.
     * @return one line per setting
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
     * Gets the address on which callers connect.
     * @return IP address and port
     */
    public String entryAddress() {
        return value(Setting.ENTRY_ADDRESS);
    }

    /**
     * Gets the address on which other daemons connect.
     * @return IP address and port
     */
    public String peerAddress() {
        return value(Setting.PEER_ADDRESS);
    }

    /**
     * Gets the address of the platform's key-value service and VM list.
     * @return the parsed address
     */
    public InetSocketAddress platform() {
        return Addresses.parse(value(Setting.PLATFORM));
    }

    /**
     * Gets the hash of the operator credential.
     * @return SHA-256 in hexadecimal
     */
    public String operatorTokenSha256() {
        return value(Setting.OPERATOR_TOKEN_SHA256);
    }

    /**
     * Gets the key shared by all daemons.
     * @return the secret key, never to be logged
     */
    public String peerKey() {
        return value(Setting.PEER_KEY);
    }

    /**
     * Gets the target selection policy.
     * @return {@code flow-weighted}, {@code least-loaded} or {@code round-robin}
     */
    public String selector() {
        return value(Setting.SELECTOR);
    }

    /**
     * Gets the lowest level that is logged.
     * @return {@code error}, {@code warn}, {@code info} or {@code debug}
     */
    public String logLevel() {
        return value(Setting.LOG_LEVEL);
    }

    /**
     * Gets how many sockets the daemon may have open.
     * @return number of sockets, for callers, daemons, targets and the platform together
     */
    public int maxSockets() {
        String value = value(Setting.MAX_SOCKETS);
        return value.isEmpty() ? OpenFiles.maxSockets() : Integer.parseInt(value);
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
        parser.accepts("check", "print the effective settings and their origin, then exit");
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
