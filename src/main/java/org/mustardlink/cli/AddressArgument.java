package org.mustardlink.cli;

import java.net.InetSocketAddress;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.ArgumentType;
import org.mustardlink.http.Addresses;

/** Parses a command-line argument as an address of the form {@code ip:port}. */
final class AddressArgument implements ArgumentType<InetSocketAddress> {
    static final String METAVAR = "IP:PORT";

    @Override
    public InetSocketAddress convert(ArgumentParser parser, Argument argument, String value)
            throws ArgumentParserException {
        try {
            return Addresses.parse(value);
        } catch (IllegalArgumentException e) {
            String message = "argument %s: expected an address ip:port, such as 127.0.0.1:7201, but got %s"
                    .formatted(argument.textualName(), value);
            throw new ArgumentParserException(message, e, parser);
        }
    }
}
