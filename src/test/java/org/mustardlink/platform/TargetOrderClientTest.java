package org.mustardlink.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.pool.TaskName;

final class TargetOrderClientTest {
    /** Guards against names in reports that are taken for another task's. */
    @Test
    void the_name_of_a_task_is_read_as_it_is_written() {
        TaskName name = new TaskName("5c0e7a21d94b36f8", 0, 1, 17);

        assertThat(TargetOrderClient.parseTaskName(TargetOrderClient.formatTaskName(name)))
                .isEqualTo(name);
    }

    /** Guards against a text of another program that is read as a task, or that fails otherwise than malformed reports do. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ".",
                "a",
                "a.0",
                "a.0.1",
                "a.0.1.",
                "a..1.2",
                "a.0.1.2.3",
                "a.0.x.2",
                "a.0.1.2 ",
                "...",
                "...."
            })
    void a_text_that_isnt_the_name_of_a_task_is_malformed(String text) {
        assertThrows(IllegalArgumentException.class, () -> TargetOrderClient.parseTaskName(text));
    }
}
