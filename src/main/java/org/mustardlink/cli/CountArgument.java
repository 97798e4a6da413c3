package org.mustardlink.cli;

import com.google.common.primitives.Ints;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.ArgumentType;

/**
 * Parses a command-line argument as a whole number within bounds.
 *
 * @param min smallest accepted value
 * @param max largest accepted value
 */
record CountArgument(int min, int max) implements ArgumentType<Integer> {
    @Override
    public Integer convert(ArgumentParser parser, Argument argument, String value) throws ArgumentParserException {
        Integer number = Ints.tryParse(value);
        if (number == null || number < min || number > max) {
            String message = "argument %s: expected a whole number from %d to %d but got %s"
                    .formatted(argument.textualName(), min, max, value);
            throw new ArgumentParserException(message, parser);
        }
        return number;
    }
}
