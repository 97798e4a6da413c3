package org.mustardlink.cli;

import com.google.common.collect.ImmutableList;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.errors.CodedException;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;

/** Entry point of the {@code mustardlink} executable. */
public final class Main {
    static final String COMMAND = "command";

    private static final int HELP_WIDTH = 100;

    private static ImmutableList<Subcommand> allCommands() {
        return ImmutableList.of(
                new DemoCommand(),
                new EntryCommand(),
                new HostCommand(HangUpSignal::install),
                new ExerciseCommand(),
                new SoakCommand(),
                new SubmitCommand(),
                new JobCommand(),
                new CancelCommand(),
                new HostsCommand(),
                new TopCommand(),
                new SettingsCommand(),
                new StandInCommand(),
                new MembersCommand(),
                new LoadCommand(),
                new CapacityCommand(),
                new ConfigCommand(),
                new ConfigProbeCommand(),
                new TargetCommand(),
                new VersionCommand());
    }

    private Main() {}

    /**
     * Runs one subcommand and ends the process with its exit code.
     *
     * @param args the subcommand and its arguments
     */
    public static void main(String[] args) {
        // Grizzly logs through java.util.logging, which must be redirected before its first use.
        System.setProperty("java.util.logging.manager", "org.apache.logging.log4j.jul.LogManager");
        ImmutableList<Subcommand> commands = commandsFor(args);
        Thread.setDefaultUncaughtExceptionHandler(Main::logUncaught);
        System.exit(run(args, commands));
    }

    /**
     * Returns the commands that the arguments may name. For {@code host} only that command is returned, so that the
     * restart of a host does not wait for the parsers of the other commands; its handler for SIGHUP is installed at once,
     * because the signal may arrive as soon as the process runs.
     */
    private static ImmutableList<Subcommand> commandsFor(String[] args) {
        if (args.length == 0 || !args[0].equals(HostCommand.NAME)) {
            return allCommands();
        }
        HangUpSignal hangUpSignal = HangUpSignal.install();
        return ImmutableList.of(new HostCommand(() -> hangUpSignal));
    }

    /** Runs one subcommand and returns its exit code; errors go to standard error as one message each. */
    static int run(String[] args) {
        return run(args, commandsFor(args));
    }

    private static int run(String[] args, ImmutableList<Subcommand> commands) {
        ArgumentParser parser = ArgumentParsers.newFor("mustardlink")
                .defaultFormatWidth(HELP_WIDTH)
                // Detecting the terminal width starts a child process at each start of a host, which the platform does
                // not allow.
                .terminalWidthDetection(false)
                .build()
                .description("Dispatches sub-second tasks to targets that are drained every week.")
                .epilog("Exit codes: 0 success, 1 failure, 2 invalid arguments or settings, 3 the job did not run,"
                        + " 4 the job may have run, 5 an address is unavailable."
                        + " Start with: mustardlink demo");
        Subparsers parsers = parser.addSubparsers().title("commands").metavar("COMMAND");
        commands.forEach(command -> command.register(parsers));
        if (args.length == 0) {
            parser.printHelp();
            return ExitCode.OK;
        }
        try {
            Namespace arguments = parser.parseArgs(args);
            Subcommand command = arguments.get(COMMAND);
            if (!command.isDaemon()) {
                EventLog.disableLogging();
            }
            return command.run(arguments);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            PrintWriter writer = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
            e.getParser().printUsage(writer);
            writer.println("mustardlink: " + e.getMessage());
            writer.flush();
            return ExitCode.USAGE;
        } catch (RuntimeException e) {
            System.err.println("mustardlink: " + describe(e));
            return unwrap(e) instanceof CodedException coded ? ExitCode.of(coded.code()) : ExitCode.FAILED;
        }
    }

    /** Returns the message of an error in a form for operators. */
    static String describe(Throwable error) {
        Throwable cause = unwrap(error);
        if (cause instanceof CodedException coded) {
            return coded.getMessage() + " (" + coded.code() + ')';
        }
        return "internal error: " + cause;
    }

    /** Writes an uncaught exception as a log line, so that library threads print no stack traces to operators. */
    private static void logUncaught(Thread thread, Throwable error) {
        EventLog.create("", "", 1)
                .line(LogEvent.THREAD_FAILED)
                .with(LogField.THREAD, thread.getName())
                .with(LogField.ERROR, error)
                .write();
    }

    private static Throwable unwrap(Throwable error) {
        return error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
    }
}
