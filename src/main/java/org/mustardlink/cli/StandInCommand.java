package org.mustardlink.cli;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.http.Addresses;
import org.mustardlink.standin.StandInPlatform;
import org.mustardlink.standin.StandInTarget;
import org.mustardlink.standin.TestBed;

/** {@code standin}: runs a stand-in platform, target or deployment until the process is ended. */
final class StandInCommand implements Subcommand {
    private static final String KIND = "what";

    @Override
    public void register(Subparsers parsers) {
        Subparsers kinds = parsers.addParser("standin")
                .help("run a stand-in platform, target or deployment, for tests")
                .addSubparsers()
                .title("what to run")
                .metavar("WHAT");
        Subparser platform = kinds.addParser("platform")
                .help("an append-only log and a list of hosts, in memory")
                .epilog("example: mustardlink standin platform --address 127.0.0.1:7200");
        Subparser target = kinds.addParser("target")
                .help("a target that simulates the run time of tasks by waiting")
                .epilog("example: mustardlink standin target --address 127.0.0.1:7300 --slots 8 --speed 2");
        Subparser deployment = kinds.addParser("deployment")
                .help("a platform and targets of one failure domain, declared in its configuration")
                .epilog("example: mustardlink standin deployment --address 127.0.0.1:7200 --targets 10");
        deployment
                .addArgument("--targets")
                .type(new CountArgument(1, 1000))
                .setDefault(10)
                .metavar("N")
                .help("number of targets, with 8 slots and speed 1 each; default 10");
        deployment
                .addArgument("--domain")
                .setDefault("balanza")
                .metavar("NAME")
                .help("failure domain of the targets; default balanza");
        target.addArgument("--slots")
                .type(new CountArgument(1, 10_000))
                .setDefault(8)
                .metavar("N")
                .help("number of tasks that run at once; default 8");
        target.addArgument("--speed")
                .type(Double.class)
                .setDefault(1.0)
                .metavar("FACTOR")
                .help("factor by which tasks run faster than at speed 1; default 1");
        addAddressArgument(platform, "platform");
        addAddressArgument(target, "target");
        addAddressArgument(deployment, "deployment");
    }

    private void addAddressArgument(Subparser parser, String kind) {
        parser.addArgument("--address")
                .required(true)
                .type(new AddressArgument())
                .metavar(AddressArgument.METAVAR)
                .help("address to listen on; port 0 selects a free port");
        parser.setDefault(Main.COMMAND, this).setDefault(KIND, kind);
    }

    @Override
    public boolean isDaemon() {
        return true;
    }

    @Override
    public int run(Namespace arguments) {
        String kind = arguments.getString(KIND);
        InetSocketAddress address = arguments.get("address");
        InetSocketAddress actual = start(kind, address, arguments);
        System.out.println("stand-in " + kind + " listens on " + Addresses.format(actual));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }

    private static InetSocketAddress start(String kind, InetSocketAddress address, Namespace arguments) {
        return switch (kind) {
            case "platform" -> StandInPlatform.start(address).address();
            case "deployment" -> {
                TestBed.Shape shape = new TestBed.Shape(
                        ImmutableList.of(arguments.getString("domain")),
                        0,
                        arguments.getInt("targets"),
                        8,
                        ImmutableList.of(1.0));
                yield TestBed.start(shape, TestBed.Options.defaults().withPlatform(address))
                        .platform()
                        .address();
            }
            default ->
                StandInTarget.start(
                                address,
                                new StandInTarget.Settings(arguments.getInt("slots"), arguments.getDouble("speed")))
                        .address();
        };
    }
}
