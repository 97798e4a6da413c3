package org.mustardlink.cli;

import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.entry.EntryHost;
import org.mustardlink.entry.Incarnations;
import org.mustardlink.observe.EventLog;

/** {@code entry}: runs an entry host until the process receives SIGTERM. */
final class EntryCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("entry")
                .help("run an entry host")
                .description("Runs an entry host until the process receives SIGTERM, then waits for open jobs for at"
                        + " most timeouts.stop-grace. Log lines go to standard output.")
                .epilog("example: mustardlink entry --settings conf/paysandu.ini --set host.id=galpon-entry-0");
        SettingsArguments.addTo(parser);
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public boolean isDaemon() {
        return true;
    }

    @Override
    public int run(Namespace arguments) {
        EntrySettings settings = EntrySettings.of(SettingsArguments.load(arguments));
        EventLog.configure(settings.logs());
        EntryHost host = EntryHost.start(settings, Incarnations.next(Clock.systemUTC()));
        CountDownLatch stopped =
                StopSignal.onStop(() -> host.stop(settings.timeouts().stopGrace()));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }
}
