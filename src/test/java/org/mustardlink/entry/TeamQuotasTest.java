package org.mustardlink.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.core.Event;
import org.mustardlink.core.TeamSpec;
import org.mustardlink.directory.HostListing;

class TeamQuotasTest {
    private static final String TEAM = """
            {"schema":1,"change":"t","kind":"team","name":"clerks","body":{"quota":10,"weight":2}}""";

    private final List<Event> events = new ArrayList<>();
    private final TeamQuotas quotas = new TeamQuotas(events::add);

    /** Guards against a quota that applies to each host instead of to all hosts together, or does not apply at all. */
    @Test
    void a_quota_is_divided_over_the_listed_entry_hosts() {
        quotas.applyConfig(view());
        quotas.applyHostListing(hosts(3));
        quotas.applyHostListing(hosts(3));

        assertThat(events)
                .containsExactly(
                        new Event.TeamsDeclared(ImmutableList.of(new TeamSpec("clerks", 2, 10, Integer.MAX_VALUE))),
                        new Event.TeamsDeclared(ImmutableList.of(new TeamSpec("clerks", 2, 4, Integer.MAX_VALUE))))
                .inOrder();
    }

    private static HostListing hosts(int count) {
        return new HostListing(
                0,
                IntStream.range(0, count)
                        .mapToObj(i -> new HostListing.Host(
                                "entry-" + i, HostListing.Kind.ENTRY, "balanza", "127.0.0.1:1", HostListing.State.LIVE))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static ConfigView view() {
        return ConfigView.of(ConfigState.empty().apply(List.of(TEAM)), Schemas.SUPPORTED);
    }
}
