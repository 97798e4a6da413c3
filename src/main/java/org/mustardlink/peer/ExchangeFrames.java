package org.mustardlink.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Optional;
import org.mustardlink.http.Addresses;
import org.mustardlink.membership.CheckResult;
import org.mustardlink.membership.ExchangeEnvelope;
import org.mustardlink.membership.ExchangeMessage;
import org.mustardlink.membership.Member;
import org.mustardlink.membership.MemberState;
import org.mustardlink.peer.thrift.CheckOutcome;
import org.mustardlink.peer.thrift.ExchangeFrame;
import org.mustardlink.peer.thrift.MemberRecord;
import org.mustardlink.peer.thrift.MemberRecordState;

/** Converts exchanges to and from Thrift messages. */
final class ExchangeFrames {
    private ExchangeFrames() {}

    static ExchangeFrame toThrift(ExchangeEnvelope envelope) {
        ExchangeMessage message = envelope.message();
        return new ExchangeFrame(
                toThrift(message.sender()),
                message.deltas().stream().map(ExchangeFrames::toThrift).toList(),
                message.digest(),
                message.join(),
                // The generated code needs buffers that are backed by an accessible array.
                new HashMap<>(Maps.transformValues(envelope.attachments(), ExchangeFrames::copy)));
    }

    /**
     * Converts a frame to an exchange.
     *
     * @throws IllegalArgumentException if a field is missing or malformed
     */
    static ExchangeEnvelope fromThrift(ExchangeFrame frame) {
        try {
            ExchangeMessage message = new ExchangeMessage(
                    fromThrift(frame.getSender()),
                    frame.getDeltas().stream().map(ExchangeFrames::fromThrift).collect(ImmutableList.toImmutableList()),
                    frame.getDigest(),
                    frame.isJoin());
            return new ExchangeEnvelope(
                    message,
                    ImmutableMap.copyOf(Maps.transformValues(frame.getAttachments(), ByteBuffer::asReadOnlyBuffer)));
        } catch (NullPointerException e) {
            throw new IllegalArgumentException("the exchange lacks a required field", e);
        }
    }

    private static ByteBuffer copy(ByteBuffer value) {
        return ByteBuffer.allocate(value.remaining()).put(value.duplicate()).flip();
    }

    static CheckOutcome toThrift(CheckResult result) {
        return CheckOutcome.valueOf(result.name());
    }

    static CheckResult fromThrift(CheckOutcome outcome) {
        return CheckResult.valueOf(outcome.name());
    }

    private static MemberRecord toThrift(Member member) {
        MemberRecord converted = new MemberRecord(
                member.id(),
                member.domain(),
                member.region(),
                member.peer(),
                member.caller(),
                member.incarnation(),
                member.version(),
                MemberRecordState.valueOf(member.state().name()));
        member.successor().ifPresent(converted::setSuccessor);
        return converted;
    }

    private static Member fromThrift(MemberRecord received) {
        // A malformed address is rejected here: the membership table stores addresses as text and parses them on use.
        Addresses.parse(received.getPeer());
        Addresses.parse(received.getCaller());
        return new Member(
                received.getId(),
                received.getDomain(),
                received.getRegion(),
                received.getPeer(),
                received.getCaller(),
                received.getIncarnation(),
                received.getVersion(),
                MemberState.valueOf(received.getState().name()),
                Optional.ofNullable(received.getSuccessor()));
    }
}
