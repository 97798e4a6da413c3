package org.mustardlink.cli;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.errors.CodedException;

/** Entry point of the {@code mustardlink} executable. */
public final class Main {
    static final String COMMAND = "command";

    private static final ImmutableList<Subcommand> COMMANDS = ImmutableList.of(
            new EntryCommand(),
            new SubmitCommand(),
            new DemoCommand(),
            new StandInCommand(),
            new CapacityCommand(),
            new LoadCommand());

    private Main() {}

    /**
     * Runs one subcommand and ends the process with its exit code.
     *
     * @param args the subcommand and its arguments
     */
    public static void main(String[] args) {
        // Grizzly logs through java.util.logging, which must be redirected before its first use.
        System.setProperty("java.util.logging.manager", "org.apache.logging.log4j.jul.LogManager");
        System.exit(run(args));
    }

    private static int run(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("mustardlink")
                .build()
                .description("Dispatches sub-second tasks to targets that are drained every week.");
        Subparsers parsers = parser.addSubparsers().title("commands").metavar("COMMAND");
        COMMANDS.forEach(command -> command.register(parsers));
        try {
            Namespace arguments = parser.parseArgs(args);
            Subcommand command = arguments.get(COMMAND);
            return command.run(arguments);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitCode.USAGE;
        } catch (CompletionException e) {
            System.err.println(e.getCause().getMessage());
            return ExitCode.UNAVAILABLE;
        } catch (CodedException e) {
            System.err.println(e.code() + ": " + e.getMessage());
            return ExitCode.UNAVAILABLE;
        }
    }
}
