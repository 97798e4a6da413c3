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
 * A dispatch host as a process of its own, started again at the same addresses after each end. Only processes that it has
 * started are signalled. Thread-safe.
 */
final class HostProcess {
    /** The platform's pages give a process this long between the request to stop and the end by force. */
    private static final Duration GRACE = Duration.ofSeconds(6);
    /** Those of the deploy file, with a smaller heap so that many hosts share one machine. */
    private static final ImmutableList<String> JAVA_OPTIONS = ImmutableList.of(
            "-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Djava.locale.providers=COMPAT");

    private static final String ARTIFACT = "mustardlink.jar";
    private static final String CLASS_ARCHIVE = "mustardlink.jsa";

    private static final String SETTINGS = """
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
    private final InetSocketAddress callers = freeAddress();
    private final InetSocketAddress readiness = freeAddress();
    private final InetSocketAddress peers = freeAddress();
    private final Path settings;
    private final Path log;
    private final IntConsumer ownEnd;
    private Process process;
    private boolean ending;
    private boolean closed;

    private HostProcess(String id, Path directory, IntConsumer ownEnd) {
        this.id = id;
        this.settings = directory.resolve(id + ".ini");
        this.log = directory.resolve(id + ".log");
        this.ownEnd = ownEnd;
    }

    /**
     * Chooses addresses for a host; {@link #start} starts it.
     *
     * @param directory where its settings and its log are kept
     * @param ownEnd hears the exit code of a process that ended without being asked to
     */
    static HostProcess create(String id, Path directory, IntConsumer ownEnd) {
        return new HostProcess(id, directory, ownEnd);
    }

    private static InetSocketAddress freeAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.findPort());
    }

    /** Writes the settings file. */
    void configure(String domain, InetSocketAddress store) throws IOException {
        Files.writeString(
                settings,
                SETTINGS.formatted(
                        id,
                        domain,
                        Addresses.format(callers),
                        Addresses.format(readiness),
                        Addresses.format(peers),
                        Addresses.format(freeAddress()),
                        Addresses.format(store),
                        GRACE.toSeconds()));
    }

    String id() {
        return id;
    }

    InetSocketAddress callers() {
        return callers;
    }

    InetSocketAddress readiness() {
        return readiness;
    }

    InetSocketAddress peers() {
        return peers;
    }

    /** Starts a process unless one runs. */
    synchronized void start() {
        if (closed || (process != null && process.isAlive())) {
            return;
        }
        ImmutableList<String> command = ImmutableList.<String>builder()
                .add(Path.of(System.getProperty("java.home"), "bin", "java").toString())
                .addAll(JAVA_OPTIONS)
                .addAll(program())
                .add("host", "--settings", settings.toAbsolutePath().toString())
                .build();
        try {
            Process started = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            process = started;
            ending = false;
            CompletableFuture<Void> _heard = started.onExit().thenAccept(this::ended);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot start a host", e);
        }
    }

    /** Returns the built artifact with its class archive if this process runs from it, otherwise the same class path. */
    private static ImmutableList<String> program() {
        String classPath = System.getProperty("java.class.path");
        for (String entry : Splitter.on(File.pathSeparator).split(classPath)) {
            Path artifact = Path.of(entry).resolveSibling(ARTIFACT);
            Path archive = Path.of(entry).resolveSibling(CLASS_ARCHIVE);
            if (Files.isRegularFile(Path.of(entry)) && Files.exists(artifact) && Files.exists(archive)) {
                return ImmutableList.of(
                        "-XX:SharedArchiveFile=" + archive, "-Xshare:auto", "-jar", artifact.toString());
            }
        }
        return ImmutableList.of("-cp", classPath, "org.mustardlink.cli.Main");
    }

    private synchronized void ended(Process which) {
        if (which == process && !ending) {
            ownEnd.accept(which.exitValue());
        }
    }

    /** Asks the process to stop, ends it after the grace, and returns once it is gone. */
    void stop() {
        Process asked = end();
        if (asked != null) {
            asked.destroy();
            Process _ended = asked.onExit()
                    .completeOnTimeout(asked, GRACE.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
            if (asked.isAlive()) {
                asked.destroyForcibly();
                awaitEnd(asked);
            }
        }
    }

    /** Ends the process at once and returns when it is gone. */
    void kill() {
        Process killed = end();
        if (killed != null) {
            killed.destroyForcibly();
            awaitEnd(killed);
        }
    }

    private synchronized Process end() {
        ending = true;
        return process;
    }

    private static void awaitEnd(Process gone) {
        Process _ended = gone.onExit().join();
    }

    /** Stops the process without asking it, until {@link #resume}. */
    void pause() {
        signal("-STOP");
    }

    /** Lets a paused process go on. */
    void resume() {
        signal("-CONT");
    }

    private synchronized void signal(String signal) {
        if (process == null || !process.isAlive()) {
            return;
        }
        try {
            Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
            boolean _done = kill.waitFor(1, TimeUnit.SECONDS);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot signal a host", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process; no other is started. */
    void close() {
        synchronized (this) {
            closed = true;
        }
        resume();
        kill();
    }
}
