package org.siskinlead.daemon.settings;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.siskinlead.protocol.http.Addresses;

/** All settings, each with its flag, default, description and validation. */
@SuppressWarnings("ImmutableEnumChecker") // the validators are stateless method references
enum Setting {
    VM("vm", "", "name of this VM", "a name of 1 to 64 letters, digits, dots and dashes", Setting::isName),
    DATA_CENTRE(
            "data-centre",
            "",
            "data centre of this VM",
            "a name of 1 to 64 letters, digits, dots and dashes",
            Setting::isName),
    ENTRY_ADDRESS(
            "entry-address", "", "address for connections of callers", "an IP address and port", Setting::isAddress),
    PEER_ADDRESS(
            "peer-address",
            "",
            "address for connections of other daemons",
            "an IP address and port",
            Setting::isAddress),
    PLATFORM(
            "platform",
            "",
            "address of the platform's key-value service and VM list",
            "an IP address and port",
            Setting::isAddress),
    OPERATOR_TOKEN_SHA256(
            "operator-token-sha256",
            "",
            "SHA-256 of the operator credential",
            "64 hexadecimal digits in lower case",
            Setting::isSha256),
    PEER_KEY("peer-key", "", "key shared by all daemons", "at least 16 characters", Setting::isPeerKey),
    SELECTOR(
            "selector",
            "flow-weighted",
            "target selection policy",
            "flow-weighted, least-loaded or round-robin",
            Setting::isSelector),
    MAX_SOCKETS(
            "max-sockets",
            "",
            "sockets that this daemon may have open; by default what its limit on open files leaves",
            "a whole number from 64, or nothing",
            Setting::isSocketCount),
    LOG_LEVEL("log-level", "info", "lowest level that is logged", "error, warn, info or debug", Setting::isLogLevel);

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9.-]{1,64}");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern SOCKET_COUNT = Pattern.compile("[0-9]{1,9}");
    private static final int MIN_SOCKETS = 64;
    private static final int MIN_PEER_KEY_CHARACTERS = 16;

    private final String flag;
    private final String defaultValue;
    private final String description;
    private final String expected;
    private final Function<String, Boolean> validator;

    Setting(
            String flag,
            String defaultValue,
            String description,
            String expected,
            Function<String, Boolean> validator) {
        this.flag = flag;
        this.defaultValue = defaultValue;
        this.description = description;
        this.expected = expected;
        this.validator = validator;
    }

    String flag() {
        return flag;
    }

    String environmentVariable() {
        return "SISKINLEAD_" + flag.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    String defaultValue() {
        return defaultValue;
    }

    String description() {
        return description + " (" + expected + ")";
    }

    /** Returns an error message if the value is invalid, without the value of a secret setting. */
    Optional<String> validate(String value) {
        if (validator.apply(value)) {
            return Optional.empty();
        }
        String shown = this == PEER_KEY ? "(hidden)" : "\"" + value + "\"";
        return Optional.of("--" + flag + " is " + shown + "; expected " + expected);
    }

    private static boolean isName(String value) {
        return NAME.matcher(value).matches();
    }

    private static boolean isSha256(String value) {
        return SHA256.matcher(value).matches();
    }

    private static boolean isPeerKey(String value) {
        return value.length() >= MIN_PEER_KEY_CHARACTERS;
    }

    private static boolean isSelector(String value) {
        return Pattern.matches("flow-weighted|least-loaded|round-robin", value);
    }

    private static boolean isSocketCount(String value) {
        return value.isEmpty() || (SOCKET_COUNT.matcher(value).matches() && Integer.parseInt(value) >= MIN_SOCKETS);
    }

    private static boolean isLogLevel(String value) {
        return Pattern.matches("error|warn|info|debug", value);
    }

    private static boolean isAddress(String value) {
        try {
            Addresses.parse(value);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
