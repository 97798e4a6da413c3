package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * What one entry host tells another in an exchange, as request and as answer.
 *
 * @param sender the sender's own record
 * @param deltas records of other hosts, of the receiver too if the sender doubts it
 * @param digest sum of the fingerprints of the records that the sender holds of hosts not gone, its own included
 * @param join whether the sender asks for every record
 */
public record ExchangeMessage(Member sender, ImmutableList<Member> deltas, long digest, boolean join) {
    public ExchangeMessage {
        checkNotNull(sender, "sender");
        checkNotNull(deltas, "deltas");
    }
}
