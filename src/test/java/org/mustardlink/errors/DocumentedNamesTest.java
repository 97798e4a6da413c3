package org.mustardlink.errors;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.io.Files;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.mustardlink.core.Reason;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;

/** Checks that the tables of names in the documentation list exactly the names in the code. */
class DocumentedNamesTest {
    /** Guards against a reason that is not documented for callers, or is documented with a wrong outcome. */
    @Test
    void every_reason_is_listed_with_its_outcome() throws IOException {
        List<ImmutableList<String>> rows = readTable("docs/errors.md", "## Reasons");

        assertThat(column(rows, 0)).containsExactlyElementsIn(names(Reason.values()));
        rows.forEach(row -> assertWithMessage(row.get(0))
                .that(row.get(1))
                .isEqualTo(Reason.valueOf(row.get(0)).outcome().name()));
    }

    /** Guards against an error code that is not documented for operators. */
    @Test
    void every_error_code_is_listed() throws IOException {
        assertThat(column(readTable("docs/errors.md", "## Codes"), 0))
                .containsExactlyElementsIn(names(ErrorCode.values()));
    }

    /** Guards against renamed or undocumented events and fields, which operators' log filters would miss. */
    @Test
    void every_log_event_and_field_is_listed() throws IOException {
        List<ImmutableList<String>> events = readTable("docs/logs.md", "## Events");
        List<String> fields = Arrays.stream(LogField.values()).map(LogField::id).toList();

        assertThat(column(events, 0))
                .containsExactlyElementsIn(
                        Arrays.stream(LogEvent.values()).map(LogEvent::id).toList());
        assertThat(column(readTable("docs/logs.md", "## Fields"), 0)).containsExactlyElementsIn(fields);
        events.forEach(event -> Stream.of(event.get(2).split(", *"))
                .filter(field -> !field.isEmpty())
                .forEach(field -> assertWithMessage(event.get(0)).that(fields).contains(field)));
    }

    private static List<String> names(Enum<?>[] values) {
        return Arrays.stream(values).map(Enum::name).toList();
    }

    private static List<String> column(List<ImmutableList<String>> rows, int index) {
        return rows.stream().map(row -> row.get(index)).toList();
    }

    /** Returns the rows of the table under a heading, without the header rows and without backquotes. */
    private static List<ImmutableList<String>> readTable(String file, String heading) throws IOException {
        return Files.readLines(new File(file), StandardCharsets.UTF_8).stream()
                .dropWhile(line -> !line.equals(heading))
                .skip(1)
                .takeWhile(line -> !line.startsWith("#"))
                .filter(line -> line.startsWith("|"))
                .skip(2)
                .map(line -> Arrays.stream(line.substring(1).split("\\|"))
                        .map(cell -> cell.trim().replace("`", ""))
                        .collect(ImmutableList.toImmutableList()))
                .toList();
    }
}
