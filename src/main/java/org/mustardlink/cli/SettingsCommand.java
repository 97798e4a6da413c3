package org.mustardlink.cli;

import com.google.common.collect.ImmutableMap;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.config.settings.Settings;
import org.mustardlink.http.Json;

/** {@code settings show} and {@code settings check}: shows or checks a settings file without starting a host. */
final class SettingsCommand implements Subcommand {
    private static final String ACTION = "action";

    @Override
    public void register(Subparsers parsers) {
        Subparsers actions = parsers.addParser("settings")
                .help("show or check settings")
                .addSubparsers()
                .title("actions")
                .metavar("ACTION");
        Subparser show = actions.addParser("show")
                .help("print every effective value and its source")
                .epilog("example: mustardlink settings show --settings conf/paysandu.ini --set logs.level=debug");
        show.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        Subparser check = actions.addParser("check")
                .help("report every error; exit code 2 if there is one")
                .epilog("example: mustardlink settings check --settings conf/paysandu.ini");
        addSettingsArguments(show, "show");
        addSettingsArguments(check, "check");
    }

    private void addSettingsArguments(Subparser parser, String action) {
        SettingsArguments.addTo(parser);
        parser.setDefault(Main.COMMAND, this).setDefault(ACTION, action);
    }

    @Override
    public int run(Namespace arguments) {
        Settings settings = SettingsArguments.load(arguments);
        if (arguments.getString(ACTION).equals("check")) {
            System.out.println("the settings are valid");
        } else if (arguments.getBoolean("json")) {
            ImmutableMap.Builder<String, Settings.Value> values = ImmutableMap.builder();
            settings.values().forEach((key, value) -> values.put(key.path(), value));
            System.out.println(Json.write(values.buildOrThrow()));
        } else {
            Table table = Table.of("key", "value", "from", "meaning");
            settings.values()
                    .forEach((key, value) -> table.addRow(key.path(), value.text(), value.source(), key.description()));
            System.out.print(table);
        }
        return ExitCode.OK;
    }
}
