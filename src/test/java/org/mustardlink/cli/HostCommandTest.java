package org.mustardlink.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.mustardlink.exercise.FreePorts;
import org.mustardlink.http.Addresses;

/** Tests the signals of a host that runs as a process of its own. */
@Timeout(60)
final class HostCommandTest {
    private final ExecutorService writer = Executors.newSingleThreadExecutor();

    @TempDir
    private Path directory;

    private Path settingsPipe;
    private Process host;

    /** Starts a host that reads its settings from a pipe, so that it waits in its start until they are written. */
    @BeforeEach
    void startHost() throws IOException, InterruptedException {
        settingsPipe = directory.resolve("host.ini");
        assertThat(new ProcessBuilder("mkfifo", settingsPipe.toString()).start().waitFor())
                .isEqualTo(0);
        host = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx96m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.mustardlink.cli.Main",
                        "host",
                        "--settings",
                        settingsPipe.toString())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("host.log").toFile())
                .start();
    }

    @AfterEach
    void endHost() throws InterruptedException {
        assertThat(host.destroyForcibly().waitFor(10, TimeUnit.SECONDS)).isTrue();
        writer.shutdownNow();
    }

    private static String freeAddress() {
        return Addresses.format(new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.findPort()));
    }

    private static String settings() {
        return """
            [host]
            id = east-1
            domain = east
            address = 127.0.0.1
            [callers]
            address = %s
            [readiness]
            address = %s
            [peers]
            address = %s
            [metrics]
            address = %s
            [store]
            address = %s
            [targets]
            lease-ms = 1000
            [stop]
            grace-s = 6
            """.formatted(freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress());
    }

    private void sendHangUp() throws IOException, InterruptedException {
        assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(host.pid()))
                        .start()
                        .waitFor())
                .isEqualTo(0);
    }

    /** Waits until the log contains an event; fails if the process ends before. */
    private void awaitLogLine(String event) throws IOException, InterruptedException {
        while (!log().contains(event)) {
            assertWithMessage(log()).that(host.isAlive()).isTrue();
            Thread.sleep(20);
        }
    }

    private String log() throws IOException {
        return Files.readString(directory.resolve("host.log"));
    }

    /** Guards against a host that ends, or goes on with old settings, because the signal came before it had started. */
    @Test
    void a_hang_up_during_the_start_does_not_end_the_process_and_the_settings_are_read_again() throws Exception {
        String settings = settings();
        // Opening the pipe for writing waits until the host has opened it for reading.
        try (BufferedWriter pipe = Files.newBufferedWriter(settingsPipe)) {
            sendHangUp();
            pipe.write(settings);
        }
        awaitLogLine("host.started");

        writer.submit(() -> Files.writeString(settingsPipe, settings)).get(20, TimeUnit.SECONDS);

        awaitLogLine("settings.reloaded");
    }

    /** Guards against a host that waits for a start that has failed, and so never ends. */
    @Test
    void a_host_with_invalid_settings_ends_with_the_exit_code_for_them() throws Exception {
        Files.writeString(settingsPipe, "[host]\n");

        assertThat(host.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertWithMessage(log()).that(host.exitValue()).isEqualTo(ExitCode.USAGE);
    }
}
