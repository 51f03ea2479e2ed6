package org.siskinlead.daemon.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingsTest {
    private static final String VALID_SHA256 = "0".repeat(64);
    private static final String[] VALID_ARGUMENTS = {
        "--vm",
        "vm-1",
        "--data-centre",
        "east",
        "--entry-address",
        "127.0.0.1:1",
        "--peer-address",
        "127.0.0.1:2",
        "--platform",
        "127.0.0.1:3",
        "--operator-token-sha256",
        VALID_SHA256,
        "--peer-key",
        "a key of sixteen"
    };

    @Test
    void reportsEveryInvalidSettingAtOnce() {
        SettingsException thrown = assertThrows(
                SettingsException.class,
                () -> Settings.read(new String[] {"--vm", "no spaces please", "--platform", "example:80"}, Map.of()));

        assertThat(thrown.errors()).hasSize(7);
        assertThat(thrown.errors().get(0)).contains("--vm is \"no spaces please\"; expected a name");
        assertThat(thrown).hasMessageThat().contains("--platform is \"example:80\"");
    }

    @Test
    void prefersFlagsToEnvironmentToDefaults() {
        Map<String, String> environment =
                Map.of("SISKINLEAD_VM", "from-environment", "SISKINLEAD_SELECTOR", "round-robin");

        Settings settings = Settings.read(VALID_ARGUMENTS, environment);

        assertThat(settings.vm()).isEqualTo("vm-1");
        assertThat(settings.selector()).isEqualTo("round-robin");
        assertThat(settings.logLevel()).isEqualTo("info");
        assertThat(settings.describe()).contains("selector=round-robin from environment");
    }

    @Test
    void hidesThePeerKey() {
        Settings settings = Settings.read(VALID_ARGUMENTS, Map.of());

        assertThat(String.join("\n", settings.describe())).doesNotContain("a key of sixteen");
    }

    @Test
    void rejectsArgumentsThatAreNotFlags() {
        String[] arguments = java.util.Arrays.copyOf(VALID_ARGUMENTS, VALID_ARGUMENTS.length + 1);
        arguments[VALID_ARGUMENTS.length] = "stray";

        SettingsException thrown = assertThrows(SettingsException.class, () -> Settings.read(arguments, Map.of()));

        assertThat(thrown.errors()).containsExactly("\"stray\" is not a flag");
    }
}
