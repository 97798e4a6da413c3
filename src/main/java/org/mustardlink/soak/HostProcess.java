package org.mustardlink.soak;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.exercise.FreePorts;
import org.mustardlink.http.Addresses;

/**
 * A dispatch host that runs as a separate process and is restarted with the same addresses. Signals go only to
 * processes that this object has started. Thread-safe.
 */
final class HostProcess {
    /** Time between SIGTERM and SIGKILL that the platform guarantees to a process. */
    private static final Duration STOP_GRACE = Duration.ofSeconds(6);
    /** The options of a deployed host, but with a smaller heap so that many hosts fit on one machine. */
    private static final ImmutableList<String> JAVA_OPTIONS = ImmutableList.of(
            "-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Djava.locale.providers=COMPAT");

    private static final String JAR_FILE = "mustardlink.jar";
    private static final String CLASS_ARCHIVE_FILE = "mustardlink.jsa";

    private static final String SETTINGS_TEMPLATE = """
        [host]
        id = %s
        domain = %s
        address = 127.0.0.1
        cpu-share = 0.75
        cores = 1
        [callers]
        address = %s
        [readiness]
        address = %s
        [peers]
        address = %s
        [metrics]
        address = %s
        [store]
        address = %s
        [targets]
        lease-ms = 1000
        [stop]
        grace-s = %d
        [logs]
        level = INFO
        lines-per-second = 100000
        """;

    private final String id;
    private final InetSocketAddress callerAddress = freeAddress();
    private final InetSocketAddress readinessAddress = freeAddress();
    private final InetSocketAddress peerAddress = freeAddress();
    private final Path settingsFile;
    private final Path logFile;
    private final IntConsumer unexpectedExitListener;
    private Process process;
    private boolean exitRequested;
    private boolean closed;

    private HostProcess(String id, Path directory, IntConsumer unexpectedExitListener) {
        this.id = id;
        this.settingsFile = directory.resolve(id + ".ini");
        this.logFile = directory.resolve(id + ".log");
        this.unexpectedExitListener = unexpectedExitListener;
    }

    /**
     * Reserves addresses for a host without starting it; {@link #start} starts the process.
     *
     * @param directory directory of the settings file and the log file
     * @param unexpectedExitListener receives the exit code of a process that exits without a request to stop
     */
    static HostProcess create(String id, Path directory, IntConsumer unexpectedExitListener) {
        return new HostProcess(id, directory, unexpectedExitListener);
    }

    private static InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.findPort());
    }

    /** Writes the settings file of the host. */
    void writeSettings(String domain, InetSocketAddress storeAddress) throws IOException {
        Files.writeString(
                settingsFile,
                SETTINGS_TEMPLATE.formatted(
                        id,
                        domain,
                        Addresses.format(callerAddress),
                        Addresses.format(readinessAddress),
                        Addresses.format(peerAddress),
                        Addresses.format(freeAddress()),
                        Addresses.format(storeAddress),
                        STOP_GRACE.toSeconds()));
    }

    String id() {
        return id;
    }

    InetSocketAddress callerAddress() {
        return callerAddress;
    }

    InetSocketAddress readinessAddress() {
        return readinessAddress;
    }

    InetSocketAddress peerAddress() {
        return peerAddress;
    }

    /** Starts the process unless it is running or this object is closed. */
    synchronized void start() {
        if (closed || (process != null && process.isAlive())) {
            return;
        }
        ImmutableList<String> command = ImmutableList.<String>builder()
                .add(Path.of(System.getProperty("java.home"), "bin", "java").toString())
                .addAll(JAVA_OPTIONS)
                .addAll(programArguments())
                .add("host", "--settings", settingsFile.toAbsolutePath().toString())
                .build();
        try {
            Process started = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                    .start();
            process = started;
            exitRequested = false;
            CompletableFuture<Void> _exitHandled = started.onExit().thenAccept(this::handleExit);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot start a host process", e);
        }
    }

    /**
     * Returns the Java arguments that select the program: the built jar with its class archive if this process runs
     * from that build, otherwise the class path of this process.
     */
    private static ImmutableList<String> programArguments() {
        String classPath = System.getProperty("java.class.path");
        for (String entry : Splitter.on(File.pathSeparator).split(classPath)) {
            Path artifact = Path.of(entry).resolveSibling(JAR_FILE);
            Path archive = Path.of(entry).resolveSibling(CLASS_ARCHIVE_FILE);
            if (Files.isRegularFile(Path.of(entry)) && Files.exists(artifact) && Files.exists(archive)) {
                return ImmutableList.of(
                        "-XX:SharedArchiveFile=" + archive, "-Xshare:auto", "-jar", artifact.toString());
            }
        }
        return ImmutableList.of("-cp", classPath, "org.mustardlink.cli.Main");
    }

    private synchronized void handleExit(Process exited) {
        if (exited == process && !exitRequested) {
            unexpectedExitListener.accept(exited.exitValue());
        }
    }

    /** Sends SIGTERM, kills the process if it still runs after the grace period, and returns once it has exited. */
    void stop() {
        Process stopping = markExitRequested();
        if (stopping != null) {
            stopping.destroy();
            Process _exited = stopping.onExit()
                    .completeOnTimeout(stopping, STOP_GRACE.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
            if (stopping.isAlive()) {
                stopping.destroyForcibly();
                awaitExit(stopping);
            }
        }
    }

    /** Kills the process and returns once it has exited. */
    void kill() {
        Process killed = markExitRequested();
        if (killed != null) {
            killed.destroyForcibly();
            awaitExit(killed);
        }
    }

    private synchronized Process markExitRequested() {
        exitRequested = true;
        return process;
    }

    private static void awaitExit(Process exiting) {
        Process _exited = exiting.onExit().join();
    }

    /** Suspends the process with SIGSTOP until {@link #resume}. */
    void pause() {
        sendSignal("-STOP");
    }

    /** Resumes a suspended process with SIGCONT. */
    void resume() {
        sendSignal("-CONT");
    }

    private synchronized void sendSignal(String signal) {
        if (process == null || !process.isAlive()) {
            return;
        }
        try {
            Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
            boolean _done = kill.waitFor(1, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot send a signal to a host process", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process and prevents further starts. */
    void close() {
        synchronized (this) {
            closed = true;
        }
        resume();
        kill();
    }
}
