package org.mustardlink.cli;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.config.settings.HostSettings;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.exercise.StandInDeployment;
import org.mustardlink.http.HttpReply;

/** {@code exercise}: runs dispatch hosts with stand-ins of the platform and checks every answer. */
final class ExerciseCommand implements Subcommand {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final int JOBS = 200;
    private static final int TASKS_PER_JOB = 3;
    private static final int TASK_MS = 5;
    /**
     * Jobs of the burst. They exceed the slots of the targets several times, so that some wait and others are refused
     * or redirected.
     */
    private static final int BURST_JOBS = 60;

    private static final int BURST_TASKS_PER_JOB = 6;
    private static final int BURST_TASK_MS = 80;
    private static final int HTTP_OK = 200;
    private static final String SETTINGS = """
        [host]
        id = host
        domain = east
        address = 127.0.0.1
        cpu-share = 0.75
        cores = 1
        [callers]
        address = 127.0.0.1:1
        [readiness]
        address = 127.0.0.1:2
        [peers]
        address = 127.0.0.1:3
        [store]
        address = 127.0.0.1:4
        [targets]
        lease-ms = 1000
        [stop]
        grace-s = 6
        [logs]
        level = INFO
        """;

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("exercise")
                .help("run dispatch hosts with stand-ins of the platform in one process")
                .description(
                        "Starts a store, four targets and two dispatch hosts on loopback, sends 200 jobs of 3 tasks,"
                                + " checks that each is complete, and sends a burst of jobs that exceeds the slots of the"
                                + " targets. The build runs it to record which classes a host loads.")
                .epilog("example: mustardlink exercise");
        parser.setDefault(Main.COMMAND, this);
    }

    /** Returns true, so that this command logs as a host does and the build records the classes of logging too. */
    @Override
    public boolean isDaemon() {
        return true;
    }

    /** Loads settings as a host does, so that the build records the classes of settings too. */
    private static void loadSettings() {
        try {
            File file = File.createTempFile("mustardlink", ".ini");
            Files.writeString(file.toPath(), SETTINGS);
            HostSettings settings = HostSettings.load(file);
            Files.delete(file.toPath());
            checkState(
                    settings.id().equals("host"),
                    "the settings file contains host.id 'host' but loading it gave %s",
                    settings);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot write the temporary settings file", e);
        }
    }

    /**
     * Sends more jobs at once than the targets have slots for and ignores their outcomes, so that the build records the
     * classes that a host under load uses.
     */
    private static void sendBurst(StandInDeployment deployment) {
        List<CompletableFuture<HttpReply>> answers = new ArrayList<>();
        for (int i = JOBS; i < JOBS + BURST_JOBS; i++) {
            String host = i % 2 == 0 ? "east-1" : "west-1";
            answers.add(deployment.submit(host, "%016x".formatted(i), BURST_TASKS_PER_JOB, BURST_TASK_MS));
        }
        CompletableFuture<?>[] all = answers.toArray(CompletableFuture<?>[]::new);
        // Some jobs of the burst may time out, which is not an error here.
        CompletableFuture<Boolean> ended = CompletableFuture.allOf(all).handle((_done, failure) -> failure == null);
        boolean _allAnswered = ended.join();
    }

    @Override
    public int run(Namespace _arguments) {
        loadSettings();
        try (StandInDeployment deployment = StandInDeployment.start()) {
            for (int i = 0; i < 4; i++) {
                deployment.addTarget("target-" + i, i % 2 == 0 ? "east" : "west", 4);
            }
            deployment.addHost("east-1", "east");
            deployment.addHost("west-1", "west");
            long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
            while (System.nanoTime() < deadlineNanos
                    && !(deployment.host("east-1").isReady()
                            && deployment.host("west-1").isReady())) {
                Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL);
            }
            int complete = 0;
            for (int i = 0; i < JOBS; i++) {
                String host = i % 2 == 0 ? "east-1" : "west-1";
                HttpReply reply = deployment
                        .submit(host, "%016x".formatted(i), TASKS_PER_JOB, TASK_MS)
                        .join();
                complete += reply.status() == HTTP_OK ? 1 : 0;
            }
            sendBurst(deployment);
            System.out.println(complete + " of " + JOBS + " jobs are complete");
            return complete == JOBS ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
