package org.mustardlink.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.mustardlink.api.CallerBackend;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.api.JobDocument;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.Verdict;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.peer.thrift.AnswerKind;
import org.mustardlink.peer.thrift.ConfigPage;
import org.mustardlink.peer.thrift.DrainReport;
import org.mustardlink.peer.thrift.Peer;
import org.mustardlink.peer.thrift.PeerAnswer;

/** Answers other entry hosts for the sessions that this one owns. */
public final class PeerServer implements AutoCloseable {
    /** Largest frame; a job of 4 MiB and its envelope fit. */
    static final int MAX_FRAME_BYTES = 5 << 20;

    private static final int SELECTORS = 1;
    private static final int WORKERS = 2;

    private final TServer server;
    private final TNonblockingServerSocket socket;

    private PeerServer(TNonblockingServerSocket socket, TServer server) {
        this.socket = socket;
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param address where to listen
     * @param incarnation incarnation of this process
     * @param backend answers for the sessions that this process owns
     * @param config answers about configuration and drains
     */
    public static PeerServer start(
            InetSocketAddress address, long incarnation, CallerBackend backend, ConfigResponder config) {
        try {
            TNonblockingServerSocket socket =
                    new TNonblockingServerSocket(new TNonblockingServerSocket.NonblockingAbstractServerSocketArgs()
                            .bindAddr(address)
                            .maxFrameSize(MAX_FRAME_BYTES));
            TThreadedSelectorServer.Args args = new TThreadedSelectorServer.Args(socket)
                    .selectorThreads(SELECTORS)
                    .workerThreads(WORKERS)
                    .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                    .protocolFactory(new TBinaryProtocol.Factory())
                    .processor(new Peer.AsyncProcessor<>(new Handler(incarnation, backend, config)));
            args.maxReadBufferBytes = MAX_FRAME_BYTES;
            TServer server = new TThreadedSelectorServer(args);
            Thread thread = new Thread(server::serve, "peer-server");
            thread.setDaemon(true);
            thread.start();
            return new PeerServer(socket, server);
        } catch (TTransportException e) {
            throw new CodedException(ErrorCode.BAD_SETTINGS, "cannot listen on " + address, e);
        }
    }

    /** Returns the port that it listens on. */
    public int port() {
        return socket.getPort();
    }

    @Override
    public void close() {
        server.stop();
        socket.close();
    }

    private static final class Handler implements Peer.AsyncIface {
        private final long incarnation;
        private final CallerBackend backend;
        private final ConfigResponder config;

        private Handler(long incarnation, CallerBackend backend, ConfigResponder config) {
            this.incarnation = incarnation;
            this.backend = backend;
            this.config = config;
        }

        @Override
        public void configSince(long offset, String change, AsyncMethodCallback<ConfigPage> callback) {
            callback.onComplete(ConfigCalls.toThrift(config.since(offset, change)));
        }

        @Override
        public void drainReport(String target, AsyncMethodCallback<DrainReport> callback) {
            callback.onComplete(ConfigCalls.toThrift(config.report(target)));
        }

        @Override
        public void submit(String submission, String job, AsyncMethodCallback<PeerAnswer> callback) {
            answer(
                    submission,
                    callback,
                    id -> backend.submit(id, JobDocument.parse(job).toRequest(), job));
        }

        @Override
        public void lookUp(String submission, AsyncMethodCallback<PeerAnswer> callback) {
            answer(submission, callback, backend::lookUp);
        }

        @Override
        public void cancel(String submission, AsyncMethodCallback<PeerAnswer> callback) {
            answer(submission, callback, backend::cancel);
        }

        private void answer(String submission, AsyncMethodCallback<PeerAnswer> callback, Call call) {
            try {
                SubmissionId id = SubmissionId.parse(submission);
                if (id.session().incarnation() != incarnation) {
                    callback.onComplete(new PeerAnswer(AnswerKind.OTHER_INCARNATION));
                    return;
                }
                CompletableFuture<JobAnswer> _answered =
                        call.apply(id).whenComplete((answer, failure) -> complete(callback, answer, failure));
            } catch (IllegalArgumentException | CodedException e) {
                complete(callback, new JobAnswer.Final(Verdict.failed(Reason.BAD_REQUEST)), null);
            }
        }

        private static void complete(AsyncMethodCallback<PeerAnswer> callback, JobAnswer answer, Throwable failure) {
            if (failure == null) {
                callback.onComplete(PeerAnswers.toThrift(answer));
            } else {
                callback.onError(new TException("internal error"));
            }
        }

        @FunctionalInterface
        private interface Call {
            CompletableFuture<JobAnswer> apply(SubmissionId id);
        }
    }
}
