package org.mustardlink.cli;

import java.io.File;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.config.settings.HostSettings;
import org.mustardlink.errors.CodedException;
import org.mustardlink.host.DispatchHost;
import org.mustardlink.observe.EventLog;

/** {@code host}: runs a dispatch host on the users' platform until the process receives SIGTERM. */
final class HostCommand implements Subcommand {
    static final String NAME = "host";

    /** Random low bits of an incarnation; the higher bits are the start time of the process in seconds. */
    private static final int RANDOM_BITS = 24;
    /** Interval of checks for a modified settings file; the file may change without a SIGHUP. */
    private static final long SETTINGS_CHECK_MS = 1_000;

    private final Supplier<HangUpSignal> hangUpSignal;

    /**
     * Creates the command.
     *
     * @param hangUpSignal returns SIGHUP with its handler installed; called when the command runs
     */
    HostCommand(Supplier<HangUpSignal> hangUpSignal) {
        this.hangUpSignal = hangUpSignal;
    }

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser(NAME)
                .help("run a dispatch host on the users' platform")
                .description(
                        "Runs a dispatch host until the process receives SIGTERM. It reloads its settings on SIGHUP"
                                + " and when the settings file changes. Log lines go to standard output.")
                .epilog("example: mustardlink host --settings host.ini");
        parser.addArgument("--settings").required(true).metavar("FILE").help("INI file with the settings");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("only check the settings and list every error");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public boolean isDaemon() {
        return true;
    }

    @Override
    public int run(Namespace arguments) {
        File file = new File(arguments.getString("settings"));
        long lastModified = file.lastModified();
        HostSettings settings = HostSettings.load(file);
        if (arguments.getBoolean("check")) {
            System.out.println("the settings are valid: " + settings);
            return ExitCode.OK;
        }
        EventLog.configure(settings.logs().level(), settings.logs().libraryLevel());
        CompletableFuture<DispatchHost> started = new CompletableFuture<>();
        CountDownLatch stopped = StopSignal.onStop(() -> stopWhenStarted(started));
        DispatchHost host = start(settings, started);
        hangUpSignal.get().onReceived(() -> reload(file, host));
        try {
            while (!stopped.await(SETTINGS_CHECK_MS, TimeUnit.MILLISECONDS)) {
                long modified = file.lastModified();
                if (modified != lastModified) {
                    lastModified = modified;
                    reload(file, host);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }

    private static DispatchHost start(HostSettings settings, CompletableFuture<DispatchHost> started) {
        try {
            DispatchHost host = DispatchHost.start(settings, newIncarnation(settings.id()));
            started.complete(host);
            return host;
        } catch (RuntimeException | Error e) {
            started.completeExceptionally(e);
            throw e;
        }
    }

    /** Stops the host after its start has ended: it takes requests before the start is complete. */
    private static void stopWhenStarted(CompletableFuture<DispatchHost> started) {
        started.handle((host, _failure) -> Optional.ofNullable(host)).join().ifPresent(DispatchHost::stop);
    }

    private static void reload(File file, DispatchHost host) {
        try {
            HostSettings changed = HostSettings.load(file);
            EventLog.configure(changed.logs().level(), changed.logs().libraryLevel());
            host.reload(changed);
        } catch (CodedException e) {
            host.logRejectedSettings(e.getMessage());
        }
    }

    private static long newIncarnation(String id) {
        long random = ThreadLocalRandom.current().nextLong() ^ (System.nanoTime() * 31 + id.hashCode());
        long seconds = TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis());
        return (seconds << RANDOM_BITS) | (random & ((1L << RANDOM_BITS) - 1));
    }
}
