package org.mustardlink.config.settings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.io.Files;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

class SettingsTest {
    private static final File EXAMPLE = new File("conf/paysandu.ini");

    /** Guards against example files that no longer load, or whose commented-out defaults differ from the actual defaults. */
    @ParameterizedTest
    @ValueSource(strings = {"conf/paysandu.ini", "conf/rijksbureau.ini"})
    void the_example_files_load_and_name_every_key_with_its_default(String file) throws IOException {
        Settings settings = Settings.load(new File(file), ImmutableList.of());
        String text = Files.asCharSource(new File(file), StandardCharsets.UTF_8).read();

        assertThat(EntrySettings.of(settings).id()).isNotEmpty();
        settings.values().forEach((key, value) -> {
            boolean shown = text.contains("\n# " + key.name() + " = " + value.text());
            assertWithMessage("%s in %s", key, file)
                    .that(shown || value.source().equals(file))
                    .isTrue();
        });
    }

    /** Guards against an override on the command line that is ignored or shown with the wrong source. */
    @Test
    void an_override_takes_precedence_over_the_file() {
        Settings settings = Settings.load(EXAMPLE, ImmutableList.of("timeouts.connect=2 s", "host.id=galpon-entry-1"));

        assertThat(EntrySettings.of(settings).timeouts().connect()).isEqualTo(Duration.ofSeconds(2));
        assertThat(settings.values().get(SettingKeys.HOST_ID)).isEqualTo(new Settings.Value("galpon-entry-1", "--set"));
        assertThat(settings.values().get(SettingKeys.HOST_DOMAIN).source()).isEqualTo(EXAMPLE.getPath());
        assertThat(settings.values().get(SettingKeys.LOG_LEVEL).source()).isEqualTo("default");
    }

    /** Guards against reporting only the first error, so that operators would have to start a host once for each error. */
    @Test
    void all_errors_are_reported_together_with_file_section_key_value_and_expected_value(@TempDir Path directory)
            throws IOException {
        File file = directory.resolve("bad.ini").toFile();
        Files.asCharSink(file, StandardCharsets.UTF_8)
                .write("lost = 1\n[host]\nid = a b\nid = c\n[caller]\naddress = example:80\n[timeout]\nconnect = 5\n");

        CodedException error = assertThrows(
                CodedException.class, () -> Settings.load(file, ImmutableList.of("limits.sessions=0", "nothing")));

        assertThat(error.code()).isEqualTo(ErrorCode.BAD_SETTINGS);
        assertThat(error.getMessage()).contains(file + ": [] lost = 1: expected a known section: host,");
        assertThat(error.getMessage()).contains(file + ": [host] id = a b and c: expected one value only");
        assertThat(error.getMessage()).contains(file + ": [caller] address = example:80: expected an address ip:port");
        assertThat(error.getMessage()).contains(file + ": [timeout] connect = 5: expected a known section");
        assertThat(error.getMessage()).contains("--set: [limits] sessions = 0: expected a whole number from 1 to");
        assertThat(error.getMessage()).contains("[] nothing = : expected section.key=value");
        assertThat(error.getMessage()).contains(file + ": [host] domain = : expected 1 to 64 letters");
    }

    /** Guards against accepting values without a unit, with an unknown unit or out of range. */
    @ParameterizedTest
    @CsvSource({
        "timeouts.connect=500, a time from 1 ms to 1 min",
        "timeouts.connect=2 min, a time from 1 ms to 1 min",
        "timeouts.connect=999999999999999 h, a time from 1 ms to 1 min",
        "caller.max-body=4 MB, a size from 1 KiB to 4 MiB",
        "limits.open-jobs=10 s, a whole number from 1",
        "logs.level=loud, 'one of error, warn, info, debug'",
        "peers.seeds=127.0.0.1, addresses ip:port",
        "operator.address=127.0.0.1:7201, another address than caller.address"
    })
    void a_value_with_an_invalid_type_unit_or_range_is_rejected(String change, String expected) {
        CodedException error =
                assertThrows(CodedException.class, () -> Settings.load(EXAMPLE, ImmutableList.of(change)));

        assertThat(error.getMessage()).startsWith("1 mistake in the settings");
        assertThat(error.getMessage()).contains("expected " + expected);
    }
}
