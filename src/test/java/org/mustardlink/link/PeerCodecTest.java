package org.mustardlink.link;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.mustardlink.errors.CodedException;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.pool.Capacity;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PendingStart;
import org.mustardlink.pool.PendingStartStatement;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.RequestId;
import org.mustardlink.pool.StepSpec;

/** Tests that peer messages survive encoding and decoding, and that malformed bytes are rejected. */
final class PeerCodecTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final RequestId REQUEST = new RequestId("east-1", 1L << 52, 7);
    private static final StepSpec STEP = new StepSpec(
            3,
            new Capacity(14_000, 64, 1),
            Duration.ofMillis(60),
            ImmutableList.of(),
            Optional.of("b"),
            Integer.MAX_VALUE);
    private static final StepSpec NEXT =
            new StepSpec(1, new Capacity(1, 0, 0), Duration.ZERO, ImmutableList.of(0), Optional.empty(), 2);
    private static final ImmutableList<PeerMessage> MESSAGES = ImmutableList.of(
            new PeerMessage.Hello(new HostInfo("east-1", "east", 9, "127.0.0.1:1", 750), 3),
            new PeerMessage.Heartbeat(
                    4,
                    3,
                    1L << 52,
                    Duration.ofMillis(100),
                    true,
                    ImmutableList.of(new Claim(POOL, "east-1", 9, 2)),
                    ImmutableMap.of(POOL, new PoolLoad(32_000, 14_000, 5)),
                    ImmutableList.of(new PeerMessage.Withdraw(POOL, REQUEST, "0123456789abcdef"))),
            new PeerMessage.Heartbeat(
                    0, 0, 0, Duration.ZERO, false, ImmutableList.of(), ImmutableMap.of(), ImmutableList.of()),
            new PeerMessage.PendingStarts(new PendingStartStatement(
                    ImmutableMap.of(
                            new PendingStart("t-1", 1L << 52, "0123456789abcdef"),
                            Duration.ofSeconds(15),
                            new PendingStart("t-2", 0, "0123456789abcdef"),
                            Duration.ofMillis(1)),
                    ImmutableList.of(new PendingStart("t-1", 5, "fedcba9876543210")),
                    Duration.ofSeconds(9))),
            new PeerMessage.PendingStarts(
                    new PendingStartStatement(ImmutableMap.of(), ImmutableList.of(), Duration.ZERO)),
            new PeerMessage.Submit(
                    POOL,
                    7,
                    new JobOrder(
                            REQUEST,
                            "0123456789abcdef",
                            "queue",
                            "text \u00e4\u0000",
                            ImmutableList.of(STEP, NEXT),
                            3,
                            Duration.ofMillis(60),
                            1.6,
                            Duration.ofMillis(1_500),
                            true,
                            false,
                            false)),
            new PeerMessage.Withdraw(POOL, REQUEST, "0123456789abcdef"),
            new PeerMessage.Result(POOL, 7, REQUEST, new JobResult.Complete()),
            new PeerMessage.Result(POOL, 7, REQUEST, new JobResult.Failed("why")),
            new PeerMessage.Result(POOL, 7, REQUEST, new JobResult.Refused("why", Duration.ofSeconds(2))),
            new PeerMessage.Result(POOL, 7, REQUEST, new JobResult.Redirected(POOL)),
            new PeerMessage.Result(POOL, 7, REQUEST, new JobResult.Abandoned("why")),
            new PeerMessage.Result(POOL, 7, REQUEST, new JobResult.Moved()),
            new PeerMessage.SnapshotRequest(),
            new PeerMessage.Snapshot(
                    "{}", ImmutableMap.of("i-1", "\u00e4"), ImmutableList.of(new Claim(POOL, "east-1", 9, 2))),
            new PeerMessage.Cancel("0123456789abcdef"),
            new PeerMessage.Canceled("0123456789abcdef", true));

    @Test
    void every_message_survives_encoding_and_decoding() {
        MESSAGES.forEach(message ->
                assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message));
    }

    /**
     * Guards against a peer of another version, or a client of another protocol, whose bytes stop the host's
     * event loop.
     */
    @Test
    void truncated_bytes_are_rejected_and_changed_bytes_are_rejected_or_decoded() {
        SplittableRandom random = new SplittableRandom(1);
        for (PeerMessage message : MESSAGES) {
            byte[] bytes = PeerCodec.encode(message);
            for (int length = 0; length < bytes.length; length++) {
                byte[] cut = Arrays.copyOf(bytes, length);
                assertThrows(CodedException.class, () -> PeerCodec.decode(cut));
            }
            for (int round = 0; round < 200; round++) {
                byte[] changed = bytes.clone();
                changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
                try {
                    assertThat(PeerCodec.decode(changed)).isNotNull();
                } catch (CodedException e) {
                    assertThat(e.getMessage()).contains("malformed");
                }
            }
        }
    }

    /** Guards against a message with a number that doesn't end, which is read beyond the end of the bytes. */
    @Test
    void random_bytes_of_every_message_type_are_rejected_as_malformed() {
        SplittableRandom random = new SplittableRandom(1);
        int rejectedCount = 0;
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = new byte[1 + random.nextInt(60)];
            random.nextBytes(bytes);
            bytes[0] = (byte) random.nextInt(12);
            try {
                assertThat(PeerCodec.decode(bytes)).isNotNull();
            } catch (CodedException e) {
                assertThat(e.getMessage()).contains("malformed");
                rejectedCount++;
            }
        }
        assertThat(rejectedCount).isGreaterThan(50_000);
    }
}
