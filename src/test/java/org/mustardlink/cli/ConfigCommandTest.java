package org.mustardlink.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mustardlink.http.Addresses;
import org.mustardlink.standin.TestBed;

class ConfigCommandTest {
    @TempDir
    Path directory;

    private TestBed bed;

    @BeforeEach
    void start() {
        bed = TestBed.start(TestBed.Shape.demo());
    }

    @AfterEach
    void stop() {
        bed.close();
    }

    /** Guards against commands whose exit code says success for a change that is not in force. */
    @Test
    void exit_codes_tell_what_became_of_a_change() throws IOException, ArgumentParserException {
        String file = write("{\"kind\":\"team\",\"name\":\"clerks\",\"body\":{\"quota\":5,\"weight\":1}}");
        String stale = write("{\"kind\":\"team\",\"name\":\"clerks\",\"base\":0,\"body\":{\"quota\":6,\"weight\":1}}");
        String invalid = write("{\"kind\":\"team\",\"name\":\"clerks\",\"body\":{\"quota\":-6,\"weight\":1}}");

        assertThat(run("config", "validate", "--file", invalid)).isEqualTo(ExitCode.FAILED);
        assertThat(run("config", "validate", "--file", file)).isEqualTo(ExitCode.OK);
        assertThat(run("config", "diff", "--file", file)).isEqualTo(ExitCode.OK);
        assertThat(run("config", "apply", "--file", file, "--change", "one")).isEqualTo(ExitCode.OK);
        assertThat(run("config", "apply", "--file", file, "--change", "one")).isEqualTo(ExitCode.OK);
        assertThat(run("config", "apply", "--file", file)).isEqualTo(ExitCode.OK);
        assertThat(run("config", "apply", "--file", stale)).isEqualTo(ExitCode.FAILED);
        assertThat(run("config", "history")).isEqualTo(ExitCode.OK);
        assertThat(run("config", "show", "--kind", "team")).isEqualTo(ExitCode.OK);
    }

    /** Guards against an operator who cannot take a drain back. */
    @Test
    void a_target_is_drained_and_taken_back() throws ArgumentParserException {
        assertThat(run("target", "drain", "galpon-target-1", "--reason", "dust"))
                .isEqualTo(ExitCode.OK);
        assertThat(run("target", "status", "galpon-target-1")).isEqualTo(ExitCode.OK);
        assertThat(run("target", "undrain", "galpon-target-1")).isEqualTo(ExitCode.OK);
        bed.entries().get(1).close();
        assertThat(run("target", "drain", "galpon-target-1")).isEqualTo(ExitCode.OK);
        assertThat(run("target", "status", "galpon-target-1")).isEqualTo(ExitCode.UNAVAILABLE);
    }

    private String write(String change) throws IOException {
        Path file = Files.createTempFile(directory, "change", ".json");
        return Files.writeString(file, change).toString();
    }

    private int run(String command, String... arguments) throws ArgumentParserException {
        ArgumentParser parser = ArgumentParsers.newFor("mustardlink").build();
        Subparsers parsers = parser.addSubparsers();
        new ConfigCommand().register(parsers);
        new TargetCommand().register(parsers);
        String operator = Addresses.format(bed.entries().get(0).operatorAddress());
        String[] all = new String[arguments.length + 3];
        all[0] = command;
        System.arraycopy(arguments, 0, all, 1, arguments.length);
        all[arguments.length + 1] = "--operator";
        all[arguments.length + 2] = operator;
        Namespace parsed = parser.parseArgs(all);
        Subcommand subcommand = parsed.get(Main.COMMAND);
        return subcommand.run(parsed);
    }
}
