package org.mustardlink.cli;

import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** {@code version}: prints the version of this build and of the Java runtime. */
final class VersionCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        parsers.addParser("version").help("print the version").setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace _arguments) {
        System.out.println("mustardlink " + version() + " (Java " + Runtime.version() + ")");
        return ExitCode.OK;
    }

    static String version() {
        return Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
