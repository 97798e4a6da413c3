package org.mustardlink.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;
import org.mustardlink.pool.PoolId;

/** Tests into how many shards the targets of a domain are divided, and which targets each shard holds. */
final class PoolLayoutTest {
    private static final PoolId EAST = new PoolId("yard", "east");

    private static PoolId shard(int shard, int shards) {
        return new PoolId("yard", "east", shard, shards);
    }

    private static Claim claim(PoolId pool, int round) {
        return new Claim(pool, "east-1", 1, round);
    }

    @Test
    void a_small_domain_is_one_pool() {
        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 11), ImmutableList.of()))
                .containsExactly(EAST);
    }

    /** Guards against one master for all targets of a domain, however many there are. */
    @Test
    void a_large_domain_is_divided_into_shards_of_twenty_targets() {
        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 52), ImmutableList.of()))
                .containsExactly(shard(0, 3), shard(1, 3), shard(2, 3));
    }

    /** Guards against hosts that divide a domain differently because they have read different lists of targets. */
    @Test
    void the_claim_with_the_highest_round_decides_the_number_of_shards() {
        ImmutableList<Claim> claims = ImmutableList.of(claim(EAST, 3), claim(shard(1, 2), 5), claim(shard(0, 3), 4));

        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 52), claims)).containsExactly(shard(0, 2), shard(1, 2));
        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 12), claims)).containsExactly(shard(0, 2), shard(1, 2));
    }

    @Test
    void a_domain_that_has_outgrown_its_shards_is_divided_anew() {
        ImmutableList<Claim> claims = ImmutableList.of(claim(shard(0, 2), 5));

        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 80), claims)).hasSize(4);
    }

    /** Guards against a target without a master or with two. */
    @Test
    void each_target_is_in_exactly_one_shard() {
        ImmutableSet<PoolId> shards = PoolLayout.pools(ImmutableMap.of(EAST, 330), ImmutableList.of());
        for (int i = 0; i < 330; i++) {
            String target = "target-" + i;
            assertWithMessage(target)
                    .that(shards.stream().filter(pool -> pool.contains(target)))
                    .hasSize(1);
        }
    }

    /** Guards against hosts that divide a domain differently for ever after two claims of one round without the store. */
    @Test
    void of_two_claims_of_one_round_the_later_incarnation_decides() {
        Claim earlier = new Claim(shard(0, 2), "east-1", 1, 5);
        Claim later = new Claim(shard(0, 3), "east-2", 2, 5);

        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 52), ImmutableList.of(earlier, later)))
                .hasSize(3);
        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 52), ImmutableList.of(later, earlier)))
                .hasSize(3);
    }
}
