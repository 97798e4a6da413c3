package org.mustardlink.peer;

import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.mustardlink.api.JobAnswer;
import org.mustardlink.api.JobDocument;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.membership.ExchangeHandler;
import org.mustardlink.peer.thrift.AnswerKind;
import org.mustardlink.peer.thrift.ConfigPage;
import org.mustardlink.peer.thrift.DrainReport;
import org.mustardlink.peer.thrift.Exchange;
import org.mustardlink.peer.thrift.HandoverPart;
import org.mustardlink.peer.thrift.Peer;
import org.mustardlink.peer.thrift.PeerAnswer;

/** Thrift server for other entry hosts: submissions, handovers, configuration, drain reports and the membership. */
public final class PeerServer implements AutoCloseable {
    /** Largest frame: a job of 4 MiB fits with its envelope. */
    static final int MAX_FRAME_BYTES = 5 << 20;

    /**
     * Largest total size of the frames being read; beyond it, the server stops reading. It holds several frames, so that
     * one frame that is never completed does not block all other peers.
     */
    private static final long MAX_OPEN_FRAME_BYTES = 6L * MAX_FRAME_BYTES;

    /** Time for which a stop waits for the calls that are being handled, which are short. */
    private static final int STOP_TIMEOUT_SECONDS = 1;

    private static final int SELECTOR_THREADS = 1;
    private static final int WORKER_THREADS = 2;

    private final TServer server;
    private final Thread thread;
    private final ListeningSocket socket;

    private PeerServer(ListeningSocket socket, TServer server, Thread thread) {
        this.socket = socket;
        this.server = server;
        this.thread = thread;
    }

    /**
     * A server socket that several threads may use at a time. Whoever stops a Thrift server closes its socket, and so do
     * the server's own threads when they end; the methods of the superclass read a field that {@code close} clears.
     */
    private static final class ListeningSocket extends TNonblockingServerSocket {
        private ListeningSocket(NonblockingAbstractServerSocketArgs args) throws TTransportException {
            super(args);
        }

        @Override
        public synchronized void listen() throws TTransportException {
            super.listen();
        }

        @Override
        public synchronized int getPort() {
            return super.getPort();
        }

        @Override
        public synchronized void close() {
            super.close();
        }
    }

    /**
     * Starts the server.
     *
     * @param address address to listen on
     * @param backend handles requests for the sessions that this process is responsible for
     * @param configResponder handles requests for configuration and drain reports
     * @param exchanges handles membership exchanges and checks
     */
    public static PeerServer start(
            InetSocketAddress address,
            OwnerBackend backend,
            ConfigResponder configResponder,
            ExchangeHandler exchanges) {
        return startProcessor(address, new Peer.AsyncProcessor<>(new PeerHandler(backend, configResponder, exchanges)));
    }

    /** Starts a server that serves only membership exchanges and checks, for benchmarks and tests of the membership. */
    public static PeerServer startExchangeOnly(InetSocketAddress address, ExchangeHandler exchanges) {
        return startProcessor(address, new Exchange.AsyncProcessor<>(new ExchangeService(exchanges)));
    }

    private static PeerServer startProcessor(InetSocketAddress address, TProcessor processor) {
        try {
            ListeningSocket socket =
                    new ListeningSocket(new TNonblockingServerSocket.NonblockingAbstractServerSocketArgs()
                            .bindAddr(address)
                            .maxFrameSize(MAX_FRAME_BYTES));
            TThreadedSelectorServer.Args args = new TThreadedSelectorServer.Args(socket)
                    .selectorThreads(SELECTOR_THREADS)
                    .workerThreads(WORKER_THREADS)
                    .stopTimeoutVal(STOP_TIMEOUT_SECONDS)
                    .stopTimeoutUnit(TimeUnit.SECONDS)
                    .transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
                    .protocolFactory(new TBinaryProtocol.Factory())
                    .processor(processor);
            args.maxReadBufferBytes = MAX_OPEN_FRAME_BYTES;
            TServer server = new TThreadedSelectorServer(args);
            Thread thread = new Thread(server::serve, "peer-server");
            thread.setDaemon(true);
            thread.start();
            return new PeerServer(socket, server, thread);
        } catch (TTransportException e) {
            throw new CodedException(ErrorCode.BAD_SETTINGS, "cannot listen on " + address, e);
        }
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return socket.getPort();
    }

    /** Closes the socket and all connections, and waits until the threads of the server have ended. */
    @Override
    public void close() {
        server.stop();
        Uninterruptibles.joinUninterruptibly(thread);
    }

    private static final class PeerHandler extends ExchangeService implements Peer.AsyncIface {
        private final OwnerBackend backend;
        private final ConfigResponder configResponder;
        private final HandoverAssembler handoverAssembler = new HandoverAssembler(System::nanoTime);

        private PeerHandler(OwnerBackend backend, ConfigResponder configResponder, ExchangeHandler exchanges) {
            super(exchanges);
            this.backend = backend;
            this.configResponder = configResponder;
        }

        @Override
        public void configSince(long offset, String change, AsyncMethodCallback<ConfigPage> callback) {
            callback.onComplete(ConfigMessages.toThrift(configResponder.pageSince(offset, change)));
        }

        @Override
        public void drainReport(String target, AsyncMethodCallback<DrainReport> callback) {
            callback.onComplete(ConfigMessages.toThrift(configResponder.drainReport(target)));
        }

        @Override
        public void submit(String submission, String job, long deadlineMs, AsyncMethodCallback<PeerAnswer> callback) {
            answer(submission, callback, id -> {
                JobRequest request = JobDocument.parse(job).toRequest();
                return backend.submitLocally(id, request.withDeadline(Duration.ofMillis(deadlineMs)));
            });
        }

        @Override
        public void lookUp(String submission, AsyncMethodCallback<PeerAnswer> callback) {
            answer(submission, callback, backend::lookUpLocally);
        }

        @Override
        public void cancel(String submission, AsyncMethodCallback<PeerAnswer> callback) {
            answer(submission, callback, backend::cancelLocally);
        }

        @Override
        public void handover(HandoverPart part, AsyncMethodCallback<Boolean> callback) {
            try {
                HandoverAssembler.AddResult result = handoverAssembler.add(part);
                if (result.handover().isEmpty()) {
                    callback.onComplete(result.accepted());
                    return;
                }
                Handover handover = result.handover().get();
                CompletableFuture<Boolean> _unused = backend.takeOverSessions(
                                handover.host(), handover.incarnation(), handover.sessions(), handover.answers())
                        .whenComplete((accepted, failure) -> callback.onComplete(failure == null && accepted));
            } catch (IllegalArgumentException e) {
                callback.onComplete(false);
            }
        }

        @Override
        public void left(String host, long incarnation, String successor, AsyncMethodCallback<Void> callback) {
            backend.recordOwnerLeft(host, incarnation, successor);
            callback.onComplete(null);
        }

        private void answer(String submission, AsyncMethodCallback<PeerAnswer> callback, Call call) {
            try {
                SubmissionId id = SubmissionId.parse(submission);
                switch (backend.relationTo(id.session())) {
                    case LATER_INCARNATION -> callback.onComplete(new PeerAnswer(AnswerKind.OTHER_INCARNATION));
                    case NOT_OWNER -> callback.onComplete(new PeerAnswer(AnswerKind.NOT_OWNER));
                    case RESPONSIBLE -> {
                        CompletableFuture<JobAnswer> _unused =
                                call.apply(id).whenComplete((answer, failure) -> complete(callback, answer, failure));
                    }
                }
            } catch (IllegalArgumentException | CodedException e) {
                // The forwarding entry host has validated the job. "Not run" could be wrong here, because a job may
                // have been submitted under this id before.
                callback.onComplete(new PeerAnswer(AnswerKind.NOT_OWNER));
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
