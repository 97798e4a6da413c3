package org.mustardlink.host;

import static com.google.common.base.Preconditions.checkState;
import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that requests that wait for the first configuration are run once. */
final class UnroutedRequestsTest {
    private final UnroutedRequests unroutedRequests = new UnroutedRequests();
    private final List<String> runs = new ArrayList<>();

    /** Guards against a job that is submitted again by each pass of the timers, so that it runs in two pools. */
    @Test
    void a_request_that_fails_does_not_make_other_requests_run_again() {
        unroutedRequests.add(() -> runs.add("first"), 0);
        unroutedRequests.add(
                () -> {
                    runs.add("second");
                    checkState(runs.size() > 2, "planted");
                },
                0);
        unroutedRequests.add(() -> runs.add("last"), 0);

        assertThrows(IllegalStateException.class, () -> unroutedRequests.runReady(true, 1));
        unroutedRequests.runReady(true, 2);
        unroutedRequests.runReady(true, 3);

        assertThat(runs).containsExactly("first", "second", "last").inOrder();
    }
}
