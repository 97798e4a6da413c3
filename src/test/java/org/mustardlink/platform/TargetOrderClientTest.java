package org.mustardlink.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.pool.TaskName;

/** Tests how task names in orders and reports are formatted and parsed. */
final class TargetOrderClientTest {
    /** Guards against a name in a report that is parsed as the name of a different task. */
    @Test
    void a_formatted_task_name_is_parsed_to_the_same_name() {
        TaskName name = new TaskName("5c0e7a21d94b36f8", 0, 1, 17);

        assertThat(TargetOrderClient.parseTaskName(TargetOrderClient.formatTaskName(name)))
                .isEqualTo(name);
    }

    /**
     * Guards against a malformed name that is accepted as a task, or that causes another exception than the one by
     * which malformed reports are recognized.
     */
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
    void a_malformed_task_name_is_rejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> TargetOrderClient.parseTaskName(text));
    }
}
