package org.mustardlink.cli;

import com.google.common.collect.ImmutableList;
import java.io.File;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.mustardlink.config.settings.Settings;

/** The arguments that name a settings file and override single settings. */
final class SettingsArguments {
    private SettingsArguments() {}

    static void addTo(ArgumentParser parser) {
        parser.addArgument("--settings")
                .required(true)
                .metavar("FILE")
                .help("INI file with the settings, such as conf/paysandu.ini");
        parser.addArgument("--set")
                .action(Arguments.append())
                .metavar("SECTION.KEY=VALUE")
                .help("override one setting; may be given several times; example: --set timeouts.connect=200ms");
    }

    static Settings load(Namespace arguments) {
        List<String> changes =
                Optional.ofNullable(arguments.<String>getList("set")).orElseGet(ImmutableList::of);
        return Settings.load(new File(arguments.getString("settings")), changes);
    }
}
