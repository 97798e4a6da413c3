package org.mustardlink.ownership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;
import org.mustardlink.pool.PoolId;

/** Tests into how many shards the targets of a domain are divided, and which shard holds which targets. */
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

    /** Guards against a domain of any size being served by a single master. */
    @Test
    void a_large_domain_is_divided_into_shards_of_twenty_targets() {
        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 52), ImmutableList.of()))
                .containsExactly(shard(0, 3), shard(1, 3), shard(2, 3));
    }

    /** Guards against hosts that compute different shards because they have read different lists of targets. */
    @Test
    void the_claim_with_the_highest_round_decides_the_number_of_shards() {
        ImmutableList<Claim> claims = ImmutableList.of(claim(EAST, 3), claim(shard(1, 2), 5), claim(shard(0, 3), 4));

        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 52), claims)).containsExactly(shard(0, 2), shard(1, 2));
        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 12), claims)).containsExactly(shard(0, 2), shard(1, 2));
    }

    @Test
    void a_domain_whose_targets_have_outgrown_its_shards_is_resharded() {
        ImmutableList<Claim> claims = ImmutableList.of(claim(shard(0, 2), 5));

        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 80), claims)).hasSize(4);
    }

    /** Guards against a target that has no master or two masters. */
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

    /**
     * Guards against hosts that never agree on the number of shards, after two hosts have made claims of the same round
     * while the store was unreachable.
     */
    @Test
    void of_two_claims_with_the_same_round_the_one_with_the_higher_incarnation_decides() {
        Claim earlier = new Claim(shard(0, 2), "east-1", 1, 5);
        Claim later = new Claim(shard(0, 3), "east-2", 2, 5);

        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 52), ImmutableList.of(earlier, later)))
                .hasSize(3);
        assertThat(PoolLayout.pools(ImmutableMap.of(EAST, 52), ImmutableList.of(later, earlier)))
                .hasSize(3);
    }
}
