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

/** {@code standin}: runs a stand-in platform or target until the process is ended. */
final class StandInCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("standin").help("run a stand-in platform or target");
        parser.addArgument("what")
                .choices("platform", "target", "deployment")
                .help("what to run; a deployment is a platform with targets");
        parser.addArgument("--address").required(true).help("address to listen on, ip:port");
        parser.addArgument("--slots").type(Integer.class).setDefault(8).help("slots of a target");
        parser.addArgument("--speed").type(Double.class).setDefault(1.0).help("speed of a target, relative to 1");
        parser.addArgument("--targets").type(Integer.class).setDefault(10).help("targets of a deployment");
        parser.addArgument("--domain").setDefault("balanza").help("failure domain of a deployment");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        InetSocketAddress address = Addresses.parse(arguments.getString("address"));
        if (arguments.getString("what").equals("platform")) {
            StandInPlatform.start(address);
        } else if (arguments.getString("what").equals("deployment")) {
            TestBed.Shape shape = new TestBed.Shape(
                    ImmutableList.of(arguments.getString("domain")),
                    0,
                    arguments.getInt("targets"),
                    arguments.getInt("slots"),
                    ImmutableList.of(arguments.getDouble("speed")));
            TestBed.start(shape, TestBed.Options.defaults().withPlatform(address));
        } else {
            StandInTarget.start(
                    address, new StandInTarget.Settings(arguments.getInt("slots"), arguments.getDouble("speed")));
        }
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }
}
