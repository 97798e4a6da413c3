package org.mustardlink.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.Json;
import org.mustardlink.standin.TestBed;

class MainTest {
    private final PrintStream originalOut = System.out;
    private final PrintStream originalErr = System.err;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeEach
    void captureOutput() {
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void restoreOutput() {
        System.setOut(originalOut);
        System.setErr(originalErr);
    }

    /** Guards against an error instead of the list of commands when no arguments are given. */
    @Test
    void no_arguments_prints_help() {
        assertThat(Main.run(new String[0])).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("Start with: mustardlink demo");
    }

    /** Guards against undocumented exit codes, stack traces and messages that do not name the error. */
    @ParameterizedTest
    @CsvSource({
        "bogus,                                                       2, invalid choice: 'bogus'",
        "submit --entry here,                                         2, expected an address ip:port",
        "submit --entry 127.0.0.1:1 --tasks 211,                      2, expected a whole number from 1 to 210",
        "submit --entry 127.0.0.1:1 --payload-file missing,           2, cannot read missing",
        "submit --entry 127.0.0.1:1,                                  5, cannot connect to",
        "job status --entry 127.0.0.1:1 --submission x,               2, expected SESSION/NUMBER",
        "cancel --entry 127.0.0.1:1 --submission a~1~1/0,             5, cannot connect to",
        "hosts --operator 127.0.0.1:1,                                5, cannot connect to",
        "settings check --settings missing.ini,                       2, the file does not exist",
        "settings check --settings conf/paysandu.ini --set host.id=,  2, 1 mistake in the settings",
        "entry --settings conf/paysandu.ini --set a.b=c,              2, 1 mistake in the settings",
    })
    void each_error_gives_one_message_and_a_documented_exit_code(String command, int code, String message) {
        assertThat(Main.run(command.split(" "))).isEqualTo(code);

        String text = err.toString(StandardCharsets.UTF_8);
        assertThat(text.replaceAll("\\s+", " ")).contains(message);
        assertThat(text).doesNotContain("\tat ");
    }

    /** Guards against help texts without an example, or without the duration of {@code demo}. */
    @Test
    void every_command_has_help() {
        for (String command : ImmutableList.of(
                "demo", "entry", "submit", "job status", "cancel", "hosts", "top", "settings show", "standin target")) {
            out.reset();
            assertWithMessage(command)
                    .that(Main.run((command + " --help").split(" ")))
                    .isEqualTo(ExitCode.OK);
            assertWithMessage(command)
                    .that(out.toString(StandardCharsets.UTF_8))
                    .containsMatch(command.equals("demo") ? "ten seconds" : "example: mustardlink " + command);
        }
    }

    /** Guards against a wrong value or source of a setting in the JSON output, which programs read. */
    @Test
    void settings_show_names_each_value_and_its_source() throws JsonProcessingException {
        String[] command = "settings show --json --settings conf/rijksbureau.ini --set logs.level=debug".split(" ");

        assertThat(Main.run(command)).isEqualTo(ExitCode.OK);
        JsonNode shown = Json.mapper().readTree(out.toString(StandardCharsets.UTF_8));
        assertThat(shown.at("/logs.level/source").asText()).isEqualTo("--set");
        assertThat(shown.at("/host.region/text").asText()).isEqualTo("nl-centraal");
        assertThat(shown.at("/timeouts.connect/source").asText()).isEqualTo("default");
    }

    /**
     * Guards against commands that fail to look up or cancel a submitted job, and against {@code hosts} accepting the
     * response of an address that is not an operator address.
     */
    @Test
    void a_submitted_job_can_be_looked_up_and_appears_in_the_status() throws JsonProcessingException {
        try (TestBed testBed = TestBed.start(TestBed.Shape.demo())) {
            String entry =
                    " --entry " + Addresses.format(testBed.callerAddresses().get(0));
            String operator = Addresses.format(testBed.entryHosts().get(0).operatorAddress());

            assertThat(run("submit --json --tasks 2 --team clerks" + entry)).isEqualTo(ExitCode.OK);
            String submission = outputJson().path("submission").asText();
            assertThat(run("job status --json --submission " + submission + entry))
                    .isEqualTo(ExitCode.OK);
            assertThat(outputJson().path("results").size()).isEqualTo(2);
            assertThat(run("cancel --submission " + submission + entry)).isEqualTo(ExitCode.OK);
            assertThat(run("submit --service none" + entry)).isEqualTo(ExitCode.NOT_RUN);
            assertThat(run("submit --session gone~1~1" + entry)).isEqualTo(ExitCode.MAY_HAVE_RUN);

            assertThat(run("top --json --count 1 --operator " + operator)).isEqualTo(ExitCode.OK);
            JsonNode status = outputJson();
            assertThat(status.at("/metrics/timers/response_time.clerks.default/count")
                            .asInt())
                    .isEqualTo(1);
            assertThat(status.at("/metrics/counters/verdicts.NO_TARGET/count").asInt())
                    .isEqualTo(1);
            assertThat(status.at("/targets").size()).isEqualTo(9);
            assertThat(run("top --count 1 --operator " + operator)).isEqualTo(ExitCode.OK);
            assertThat(run("hosts --operator " + operator)).isEqualTo(ExitCode.OK);
            assertThat(run("hosts --operator " + entry.substring(" --entry ".length())))
                    .isEqualTo(ExitCode.UNAVAILABLE);
        }
    }

    private int run(String command) {
        out.reset();
        return Main.run(command.split(" "));
    }

    private JsonNode outputJson() throws JsonProcessingException {
        return Json.mapper().readTree(out.toString(StandardCharsets.UTF_8));
    }

    /** Guards against changed exit codes, on which scripts depend. */
    @Test
    void exit_codes_are_as_documented() {
        assertThat(ImmutableMap.of(
                        "usage", ExitCode.USAGE,
                        "not run", ExitCode.NOT_RUN,
                        "may have run", ExitCode.MAY_HAVE_RUN,
                        "unavailable", ExitCode.UNAVAILABLE))
                .containsExactly("usage", 2, "not run", 3, "may have run", 4, "unavailable", 5);
    }
}
