package org.mustardlink.config.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;

/** Tests settings of a dispatch host that are rendered from the template in {@code deploy/}. */
final class HostSettingsTest {
    private static final Path TEMPLATE = Path.of("deploy/host.ini");
    private static final ImmutableMap<String, String> FIELDS = ImmutableMap.<String, String>builder()
            .put("node", "edge-east-1")
            .put("zone", "east")
            .put("ip", "10.1.0.13")
            .put("limits.cpuShare", "0.75")
            .put("limits.cores", "2")
            .put("listen.front", "10.1.0.13:8161")
            .put("listen.ready", "10.1.0.13:8167")
            .put("internalPortRange.0", "7720")
            .put("platform.addr", "10.200.1.7:8169")
            .put("bounds.holdMaxMs", "1000")
            .put("bounds.graceS", "1.5")
            .put("bounds.resendMs", "1200")
            .buildOrThrow();

    @TempDir
    private Path folder;

    private Path render(Map<String, String> fields) throws IOException {
        String text = Files.readString(TEMPLATE);
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        Path file = folder.resolve("host.ini");
        Files.writeString(file, text.replaceAll("\\{\\{[^}]*}}", ""));
        return file;
    }

    @Test
    void the_template_renders_valid_settings() throws IOException {
        HostSettings settings = HostSettings.load(render(FIELDS).toFile());

        assertThat(settings.id()).isEqualTo("edge-east-1");
        assertThat(settings.domain()).isEqualTo("east");
        assertThat(settings.cpuMillis()).isEqualTo(1_500);
        assertThat(settings.peerAddress()).isEqualTo(Addresses.parse("10.1.0.13:7720"));
        assertThat(settings.metricsAddress()).isEqualTo(Addresses.parse("10.1.0.13:9464"));
        assertThat(settings.maxLease()).isEqualTo(Duration.ofSeconds(1));
        assertThat(settings.stopGrace()).isEqualTo(Duration.ofMillis(1_500));
        assertThat(settings.resendDelay()).isEqualTo(Duration.ofMillis(1_200));
    }

    /** Guards against a host that starts with incomplete settings because the platform did not provide a field of the template. */
    @Test
    void settings_with_a_missing_field_are_rejected_unless_it_has_a_default() throws IOException {
        for (String missing : FIELDS.keySet()) {
            Map<String, String> fields = new HashMap<>(FIELDS);
            fields.remove(missing);
            if (missing.startsWith("limits.") || missing.equals("bounds.resendMs")) {
                assertThat(HostSettings.load(render(fields).toFile())).isNotNull();
                continue;
            }
            Path file = render(fields);
            CodedException error = assertThrows(CodedException.class, () -> HostSettings.load(file.toFile()), missing);
            assertThat(error.code()).isEqualTo(ErrorCode.BAD_SETTINGS);
        }
    }

    /** Guards against a host that starts no task, because every lease that it may grant has no duration. */
    @Test
    void a_resend_delay_that_is_too_short_for_heartbeats_is_rejected() throws IOException {
        Map<String, String> fields = new HashMap<>(FIELDS);
        fields.put("bounds.resendMs", "40");
        Path file = render(fields);

        CodedException error = assertThrows(CodedException.class, () -> HostSettings.load(file.toFile()));

        assertThat(error.code()).isEqualTo(ErrorCode.BAD_SETTINGS);
        assertThat(error.getMessage()).contains("resend-ms = 40 ms");
    }

    @Test
    void all_errors_are_reported_together() throws IOException {
        Path file = render(FIELDS);
        Files.writeString(
                file,
                Files.readString(file)
                        .replace("lease-ms = 1000", "lease-ms = soon\nodd = 1")
                        .replace("address = 10.200.1.7:8169", "address = store"));

        CodedException error = assertThrows(CodedException.class, () -> HostSettings.load(file.toFile()));

        assertThat(error.getMessage()).contains("lease-ms = soon");
        assertThat(error.getMessage()).contains("odd");
        assertThat(error.getMessage()).contains("address = store");
    }
}
