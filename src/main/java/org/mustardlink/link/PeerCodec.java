package org.mustardlink.link;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
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

/**
 * Encodes and decodes {@link PeerMessage}s in Thrift's compact protocol. Fields are written without headers, because
 * all hosts run the same version.
 */
final class PeerCodec {
    private static final int INITIAL_BYTES = 256;
    /** Maximum size of a list in a message, which is an upper bound for the steps and tasks of a job. */
    private static final int MAX_LIST_SIZE = 100_000;

    private static final byte HELLO = 1;
    private static final byte HEARTBEAT = 2;
    private static final byte SUBMIT = 3;
    private static final byte WITHDRAW = 4;
    private static final byte RESULT = 5;
    private static final byte CANCEL = 6;
    private static final byte CANCELED = 7;
    private static final byte SNAPSHOT_REQUEST = 8;
    private static final byte SNAPSHOT = 9;
    private static final byte PENDING_STARTS = 10;

    private static final byte COMPLETE = 1;
    private static final byte FAILED = 2;
    private static final byte REFUSED = 3;
    private static final byte REDIRECTED = 4;
    private static final byte ABANDONED = 5;
    private static final byte MOVED = 6;

    private PeerCodec() {}

    static byte[] encode(PeerMessage message) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
            write(new TCompactProtocol(buffer), message);
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot encode the peer message", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the bytes are malformed
     */
    static PeerMessage decode(byte[] bytes) {
        try {
            return read(new TCompactProtocol(new TMemoryInputTransport(bytes)));
        } catch (TException | IllegalArgumentException | NullPointerException | IndexOutOfBoundsException e) {
            // The protocol reads beyond the end of bytes that end within a number of too many bytes.
            throw new CodedException(ErrorCode.BAD_REQUEST, "malformed peer message", e);
        }
    }

    private static void write(TCompactProtocol out, PeerMessage message) throws TException {
        if (message instanceof PeerMessage.Hello hello) {
            out.writeByte(HELLO);
            write(out, hello.sender());
            out.writeI64(hello.connectionNumber());
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            out.writeByte(HEARTBEAT);
            write(out, heartbeat);
        } else if (message instanceof PeerMessage.Submit submit) {
            out.writeByte(SUBMIT);
            write(out, submit.pool());
            out.writeI32(submit.round());
            write(out, submit.order());
        } else if (message instanceof PeerMessage.Withdraw withdraw) {
            out.writeByte(WITHDRAW);
            write(out, withdraw);
        } else if (message instanceof PeerMessage.Result result) {
            out.writeByte(RESULT);
            write(out, result.pool());
            out.writeI32(result.round());
            write(out, result.request());
            write(out, result.result());
        } else if (message instanceof PeerMessage.SnapshotRequest) {
            out.writeByte(SNAPSHOT_REQUEST);
        } else if (message instanceof PeerMessage.Snapshot snapshot) {
            out.writeByte(SNAPSHOT);
            write(out, snapshot);
        } else if (message instanceof PeerMessage.PendingStarts pending) {
            out.writeByte(PENDING_STARTS);
            write(out, pending.statement());
        } else if (message instanceof PeerMessage.Cancel cancel) {
            out.writeByte(CANCEL);
            out.writeString(cancel.job());
        } else if (message instanceof PeerMessage.Canceled canceled) {
            out.writeByte(CANCELED);
            out.writeString(canceled.job());
            out.writeBool(canceled.found());
        }
    }

    private static PeerMessage read(TCompactProtocol in) throws TException {
        byte type = in.readByte();
        return switch (type) {
            case HELLO -> new PeerMessage.Hello(readHost(in), in.readI64());
            case HEARTBEAT -> readHeartbeat(in);
            case SUBMIT -> new PeerMessage.Submit(readPool(in), in.readI32(), readOrder(in));
            case WITHDRAW -> readWithdraw(in);
            case RESULT -> new PeerMessage.Result(readPool(in), in.readI32(), readRequest(in), readResult(in));
            case SNAPSHOT_REQUEST -> new PeerMessage.SnapshotRequest();
            case SNAPSHOT -> readSnapshot(in);
            case PENDING_STARTS -> new PeerMessage.PendingStarts(readPendingStarts(in));
            case CANCEL -> new PeerMessage.Cancel(in.readString());
            case CANCELED -> new PeerMessage.Canceled(in.readString(), in.readBool());
            default -> throw new TException("unknown peer message type: " + type);
        };
    }

    private static void write(TCompactProtocol out, PendingStartStatement statement) throws TException {
        out.writeI32(statement.pending().size());
        for (Map.Entry<PendingStart, Duration> entry : statement.pending().entrySet()) {
            write(out, entry.getKey());
            out.writeI64(entry.getValue().toNanos());
        }
        out.writeI32(statement.refused().size());
        for (PendingStart start : statement.refused()) {
            write(out, start);
        }
        out.writeI64(statement.unlisted().toNanos());
    }

    private static PendingStartStatement readPendingStarts(TCompactProtocol in) throws TException {
        ImmutableMap.Builder<PendingStart, Duration> pending = ImmutableMap.builder();
        for (int i = readCount(in); i > 0; i--) {
            pending.put(readPendingStart(in), Duration.ofNanos(in.readI64()));
        }
        ImmutableList.Builder<PendingStart> refused = ImmutableList.builder();
        for (int i = readCount(in); i > 0; i--) {
            refused.add(readPendingStart(in));
        }
        return new PendingStartStatement(pending.buildKeepingLast(), refused.build(), Duration.ofNanos(in.readI64()));
    }

    private static void write(TCompactProtocol out, PendingStart start) throws TException {
        out.writeString(start.target());
        out.writeI64(start.fencingToken());
        out.writeString(start.job());
    }

    private static PendingStart readPendingStart(TCompactProtocol in) throws TException {
        return new PendingStart(in.readString(), in.readI64(), in.readString());
    }

    private static void write(TCompactProtocol out, PeerMessage.Snapshot snapshot) throws TException {
        out.writeString(snapshot.configuration());
        out.writeI32(snapshot.targets().size());
        for (Map.Entry<String, String> target : snapshot.targets().entrySet()) {
            out.writeString(target.getKey());
            out.writeString(target.getValue());
        }
        writeClaims(out, snapshot.claims());
    }

    private static PeerMessage.Snapshot readSnapshot(TCompactProtocol in) throws TException {
        String configuration = in.readString();
        ImmutableMap.Builder<String, String> targets = ImmutableMap.builder();
        for (int i = readCount(in); i > 0; i--) {
            targets.put(in.readString(), in.readString());
        }
        return new PeerMessage.Snapshot(configuration, targets.buildKeepingLast(), readClaims(in));
    }

    private static void writeClaims(TCompactProtocol out, ImmutableList<Claim> claims) throws TException {
        out.writeI32(claims.size());
        for (Claim claim : claims) {
            write(out, claim.pool());
            out.writeString(claim.host());
            out.writeI64(claim.incarnation());
            out.writeI32(claim.round());
        }
    }

    private static ImmutableList<Claim> readClaims(TCompactProtocol in) throws TException {
        ImmutableList.Builder<Claim> claims = ImmutableList.builder();
        for (int i = readCount(in); i > 0; i--) {
            claims.add(new Claim(readPool(in), in.readString(), in.readI64(), in.readI32()));
        }
        return claims.build();
    }

    private static void write(TCompactProtocol out, HostInfo host) throws TException {
        out.writeString(host.id());
        out.writeString(host.domain());
        out.writeI64(host.incarnation());
        out.writeString(host.address());
        out.writeI32(host.cpuMillis());
    }

    private static HostInfo readHost(TCompactProtocol in) throws TException {
        return new HostInfo(in.readString(), in.readString(), in.readI64(), in.readString(), in.readI32());
    }

    private static void write(TCompactProtocol out, PeerMessage.Heartbeat heartbeat) throws TException {
        out.writeI64(heartbeat.sequence());
        out.writeI64(heartbeat.acknowledged());
        out.writeI64(heartbeat.acknowledgedIncarnation());
        out.writeI64(heartbeat.untilNext().toNanos());
        out.writeBool(heartbeat.stopping());
        writeClaims(out, heartbeat.claims());
        out.writeI32(heartbeat.loads().size());
        for (Map.Entry<PoolId, PoolLoad> entry : heartbeat.loads().entrySet()) {
            write(out, entry.getKey());
            out.writeI32(entry.getValue().freeCpuMillis());
            out.writeI32(entry.getValue().maxTargetFreeCpuMillis());
            out.writeI32(entry.getValue().openJobs());
        }
        out.writeI32(heartbeat.withdrawals().size());
        for (PeerMessage.Withdraw withdrawal : heartbeat.withdrawals()) {
            write(out, withdrawal);
        }
    }

    private static PeerMessage.Heartbeat readHeartbeat(TCompactProtocol in) throws TException {
        long sequence = in.readI64();
        long acknowledged = in.readI64();
        long acknowledgedIncarnation = in.readI64();
        Duration untilNext = Duration.ofNanos(in.readI64());
        boolean stopping = in.readBool();
        ImmutableList<Claim> claims = readClaims(in);
        ImmutableMap.Builder<PoolId, PoolLoad> loads = ImmutableMap.builder();
        for (int i = readCount(in); i > 0; i--) {
            loads.put(readPool(in), new PoolLoad(in.readI32(), in.readI32(), in.readI32()));
        }
        ImmutableList.Builder<PeerMessage.Withdraw> withdrawals = ImmutableList.builder();
        for (int i = readCount(in); i > 0; i--) {
            withdrawals.add(readWithdraw(in));
        }
        return new PeerMessage.Heartbeat(
                sequence,
                acknowledged,
                acknowledgedIncarnation,
                untilNext,
                stopping,
                claims,
                loads.buildKeepingLast(),
                withdrawals.build());
    }

    private static void write(TCompactProtocol out, PeerMessage.Withdraw withdraw) throws TException {
        write(out, withdraw.pool());
        write(out, withdraw.request());
        out.writeString(withdraw.job());
    }

    private static PeerMessage.Withdraw readWithdraw(TCompactProtocol in) throws TException {
        return new PeerMessage.Withdraw(readPool(in), readRequest(in), in.readString());
    }

    private static void write(TCompactProtocol out, PoolId pool) throws TException {
        out.writeString(pool.service());
        out.writeString(pool.domain());
        out.writeI32(pool.shard());
        out.writeI32(pool.shards());
    }

    private static PoolId readPool(TCompactProtocol in) throws TException {
        return new PoolId(in.readString(), in.readString(), in.readI32(), in.readI32());
    }

    private static void write(TCompactProtocol out, RequestId request) throws TException {
        out.writeString(request.host());
        out.writeI64(request.incarnation());
        out.writeI64(request.number());
    }

    private static RequestId readRequest(TCompactProtocol in) throws TException {
        return new RequestId(in.readString(), in.readI64(), in.readI64());
    }

    private static void write(TCompactProtocol out, JobOrder order) throws TException {
        write(out, order.request());
        out.writeString(order.job());
        out.writeString(order.route());
        out.writeString(order.payload());
        out.writeI32(order.steps().size());
        for (StepSpec step : order.steps()) {
            write(out, step);
        }
        out.writeI32(order.maxAttempts());
        out.writeI64(order.objective().toNanos());
        out.writeDouble(order.stretch());
        out.writeI64(order.remaining().toNanos());
        out.writeBool(order.mayHaveStarted());
        out.writeBool(order.mayRedirect());
        out.writeBool(order.mustStartImmediately());
    }

    private static JobOrder readOrder(TCompactProtocol in) throws TException {
        RequestId request = readRequest(in);
        String job = in.readString();
        String route = in.readString();
        String payload = in.readString();
        ImmutableList.Builder<StepSpec> steps = ImmutableList.builder();
        for (int i = readCount(in); i > 0; i--) {
            steps.add(readStep(in));
        }
        return new JobOrder(
                request,
                job,
                route,
                payload,
                steps.build(),
                in.readI32(),
                Duration.ofNanos(in.readI64()),
                in.readDouble(),
                Duration.ofNanos(in.readI64()),
                in.readBool(),
                in.readBool(),
                in.readBool());
    }

    private static void write(TCompactProtocol out, StepSpec step) throws TException {
        out.writeI32(step.taskCount());
        out.writeI32(step.need().cpuMillis());
        out.writeI32(step.need().memoryMb());
        out.writeI32(step.need().gpus());
        out.writeI64(step.declaredRunTime().toNanos());
        out.writeI32(step.dependsOn().size());
        for (int earlier : step.dependsOn()) {
            out.writeI32(earlier);
        }
        out.writeString(step.requiredLabel().orElse(""));
        out.writeI32(step.maxPerTarget());
    }

    private static StepSpec readStep(TCompactProtocol in) throws TException {
        int count = in.readI32();
        Capacity need = new Capacity(in.readI32(), in.readI32(), in.readI32());
        Duration estimate = Duration.ofNanos(in.readI64());
        ImmutableList.Builder<Integer> after = ImmutableList.builder();
        for (int i = readCount(in); i > 0; i--) {
            after.add(in.readI32());
        }
        Optional<String> label = Optional.of(in.readString()).filter(text -> !text.isEmpty());
        return new StepSpec(count, need, estimate, after.build(), label, in.readI32());
    }

    private static void write(TCompactProtocol out, JobResult result) throws TException {
        if (result instanceof JobResult.Complete) {
            out.writeByte(COMPLETE);
        } else if (result instanceof JobResult.Failed failed) {
            out.writeByte(FAILED);
            out.writeString(failed.why());
        } else if (result instanceof JobResult.Refused refused) {
            out.writeByte(REFUSED);
            out.writeString(refused.why());
            out.writeI64(refused.retryAfter().toNanos());
        } else if (result instanceof JobResult.Redirected redirected) {
            out.writeByte(REDIRECTED);
            write(out, redirected.pool());
        } else if (result instanceof JobResult.Abandoned abandoned) {
            out.writeByte(ABANDONED);
            out.writeString(abandoned.why());
        } else {
            out.writeByte(MOVED);
        }
    }

    private static JobResult readResult(TCompactProtocol in) throws TException {
        byte kind = in.readByte();
        return switch (kind) {
            case COMPLETE -> new JobResult.Complete();
            case FAILED -> new JobResult.Failed(in.readString());
            case REFUSED -> new JobResult.Refused(in.readString(), Duration.ofNanos(in.readI64()));
            case REDIRECTED -> new JobResult.Redirected(readPool(in));
            case ABANDONED -> new JobResult.Abandoned(in.readString());
            case MOVED -> new JobResult.Moved();
            default -> throw new TException("unknown job result kind: " + kind);
        };
    }

    private static int readCount(TCompactProtocol in) throws TException {
        int count = in.readI32();
        if (count < 0 || count > MAX_LIST_SIZE) {
            throw new TException("invalid list size: " + count + " items");
        }
        return count;
    }
}
