package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The message that one entry host sends to another in an exchange, as request and as answer.
 *
 * @param sender the sender's record of itself
 * @param deltas records of other hosts, always including that of the receiver if the sender holds it as suspected or
 *     gone
 * @param digest sum of the fingerprints of all records of the sender whose state is not gone, including the sender's
 *     own
 * @param join whether the sender requests every record
 */
public record ExchangeMessage(Member sender, ImmutableList<Member> deltas, long digest, boolean join) {
    public ExchangeMessage {
        checkNotNull(sender, "sender");
        checkNotNull(deltas, "deltas");
    }
}
