package org.mustardlink.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests which route a request matches. */
final class RoutingTableTest {
    private static Route route(String name, String host, String prefix) {
        return new Route(name, host, prefix, "yard", Duration.ZERO, Duration.ofMillis(60), 1.6, 0, 3);
    }

    private final RoutingTable table = RoutingTable.create(
            7,
            ImmutableList.of(
                    route("short", "a.example", "/x/"),
                    route("long", "a.example", "/x/y/"),
                    route("other", "b.example", "/")),
            ImmutableSet.of("yard"),
            1_000);

    private String find(String host, String path) {
        return table.findRoute(host, path).map(Route::name).orElse("none");
    }

    @Test
    void the_longest_matching_path_prefix_wins() {
        assertThat(find("a.example", "/x/1")).isEqualTo("short");
        assertThat(find("a.example", "/x/y/1")).isEqualTo("long");
    }

    @Test
    void the_virtual_host_is_matched_without_its_port_and_case_insensitively() {
        assertThat(find("A.example:8080", "/x/1")).isEqualTo("short");
        assertThat(find("b.example", "/anything")).isEqualTo("other");
    }

    @Test
    void other_hosts_and_paths_have_no_route() {
        assertThat(find("c.example", "/x/1")).isEqualTo("none");
        assertThat(find("a.example", "/z")).isEqualTo("none");
        assertThat(find("", "")).isEqualTo("none");
    }
}
