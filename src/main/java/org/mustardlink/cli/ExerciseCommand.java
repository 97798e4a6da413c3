package org.mustardlink.cli;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.exercise.StandInDeployment;
import org.mustardlink.http.HttpReply;

/** {@code exercise}: serves jobs on stand-ins of the platform and checks every answer. */
final class ExerciseCommand implements Subcommand {
    private static final Duration MASTER_WAIT = Duration.ofSeconds(10);
    private static final Duration PAUSE = Duration.ofMillis(20);
    private static final int JOBS = 200;
    private static final int TASKS = 3;
    private static final int TASK_MS = 5;
    private static final int OK = 200;

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("exercise")
                .help("serve jobs on stand-ins of the platform in one process")
                .description(
                        "Starts a store, four targets and two dispatch hosts on loopback, sends 200 jobs of 3 tasks,"
                                + " and checks that each is complete. The build runs it to record which classes a host loads.")
                .epilog("example: mustardlink exercise");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace _arguments) {
        try (StandInDeployment deployment = StandInDeployment.start()) {
            for (int i = 0; i < 4; i++) {
                deployment.addTarget("target-" + i, i % 2 == 0 ? "east" : "west", 4);
            }
            deployment.addHost("east-1", "east");
            deployment.addHost("west-1", "west");
            long end = System.nanoTime() + MASTER_WAIT.toNanos();
            while (System.nanoTime() < end
                    && !(deployment.host("east-1").ready()
                            && deployment.host("west-1").ready())) {
                Uninterruptibles.sleepUninterruptibly(PAUSE);
            }
            int complete = 0;
            for (int i = 0; i < JOBS; i++) {
                String host = i % 2 == 0 ? "east-1" : "west-1";
                HttpReply reply = deployment
                        .submit(host, "%016x".formatted(i), TASKS, TASK_MS)
                        .join();
                complete += reply.status() == OK ? 1 : 0;
            }
            System.out.println(complete + " of " + JOBS + " jobs are complete");
            return complete == JOBS ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
