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

    private TestBed testBed;

    @BeforeEach
    void start() {
        testBed = TestBed.start(TestBed.Shape.demo());
    }

    @AfterEach
    void stop() {
        testBed.close();
    }

    /** Guards against an exit code of success for a change that was not applied. */
    @Test
    void exit_code_reports_the_result_of_a_change() throws IOException, ArgumentParserException {
        String file = writeChange("{\"kind\":\"team\",\"name\":\"clerks\",\"body\":{\"quota\":5,\"weight\":1}}");
        String stale =
                writeChange("{\"kind\":\"team\",\"name\":\"clerks\",\"base\":0,\"body\":{\"quota\":6,\"weight\":1}}");
        String invalid = writeChange("{\"kind\":\"team\",\"name\":\"clerks\",\"body\":{\"quota\":-6,\"weight\":1}}");

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

    /**
     * Guards against a drain that an operator cannot revert, and against an exit code of success for the status of a
     * drain that an unreachable entry host could not confirm.
     */
    @Test
    void an_ordered_drain_can_be_reverted() throws ArgumentParserException {
        assertThat(run("target", "drain", "galpon-target-1", "--reason", "dust"))
                .isEqualTo(ExitCode.OK);
        assertThat(run("target", "status", "galpon-target-1")).isEqualTo(ExitCode.OK);
        assertThat(run("target", "undrain", "galpon-target-1")).isEqualTo(ExitCode.OK);
        testBed.entryHosts().get(1).close();
        assertThat(run("target", "drain", "galpon-target-1")).isEqualTo(ExitCode.OK);
        assertThat(run("target", "status", "galpon-target-1")).isEqualTo(ExitCode.UNAVAILABLE);
    }

    private String writeChange(String change) throws IOException {
        Path file = Files.createTempFile(directory, "change", ".json");
        return Files.writeString(file, change).toString();
    }

    private int run(String command, String... arguments) throws ArgumentParserException {
        ArgumentParser parser = ArgumentParsers.newFor("mustardlink").build();
        Subparsers parsers = parser.addSubparsers();
        new ConfigCommand().register(parsers);
        new TargetCommand().register(parsers);
        String operator = Addresses.format(testBed.entryHosts().get(0).operatorAddress());
        String[] fullArguments = new String[arguments.length + 3];
        fullArguments[0] = command;
        System.arraycopy(arguments, 0, fullArguments, 1, arguments.length);
        fullArguments[arguments.length + 1] = "--operator";
        fullArguments[arguments.length + 2] = operator;
        Namespace parsed = parser.parseArgs(fullArguments);
        Subcommand subcommand = parsed.get(Main.COMMAND);
        return subcommand.run(parsed);
    }
}
