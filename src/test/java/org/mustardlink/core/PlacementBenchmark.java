package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.mustardlink.core.policy.BaselinePolicies;

/**
 * Measures the ratio of response time to ideal response time of one core with a fake clock: 10 targets with 8 slots
 * each, Poisson arrivals, and declared run times that are wrong by up to 4x. Prints one line per policy.
 *
 * <p>Arguments: ratio of the highest to the lowest speed, load, tasks per job, seed, number of jobs and, optionally,
 * the name of a single policy.
 */
final class PlacementBenchmark {
    private static final int TARGETS = 10;
    private static final int SLOTS = 8;
    private static final int WARM_UP = 300;

    private final double spread;
    private final double load;
    private final int tasks;
    private final long seed;
    private final int jobs;
    private final double[] speeds;

    private PlacementBenchmark(double spread, double load, int tasks, long seed, int jobs) {
        this.spread = spread;
        this.load = load;
        this.tasks = tasks;
        this.seed = seed;
        this.jobs = jobs;
        this.speeds = new double[TARGETS];
        for (int i = 0; i < TARGETS; i++) {
            speeds[i] = 1 + (spread - 1) * i / (TARGETS - 1);
        }
    }

    public static void main(String[] args) {
        PlacementBenchmark benchmark = new PlacementBenchmark(
                Double.parseDouble(args[0]),
                Double.parseDouble(args[1]),
                Integer.parseInt(args[2]),
                Long.parseLong(args[3]),
                Integer.parseInt(args[4]));
        for (String policy : (args.length > 5
                ? List.of(args[5])
                : List.of("random", "round-robin", "least-outstanding", "fastest-free", "expected-finish"))) {
            benchmark.run(policy);
        }
    }

    private void run(String policy) {
        Random random = new Random(seed);
        FakeTargets targets = new FakeTargets(
                        DispatchCore.create(CoreSettings.defaults("bench", 1), BaselinePolicies.named(policy, seed)))
                .declare(SLOTS, speeds);
        double capacity = Arrays.stream(speeds).sum() * SLOTS;
        double meanWork = 0;
        for (int i = 0; i < 10_000; i++) {
            meanWork += work(random) / 10_000.0;
        }
        double gapNanos = meanWork * tasks / (capacity * load) * 1e6;
        List<SubmissionId> ids = new ArrayList<>();
        List<Double> ideals = new ArrayList<>();
        double at = targets.now();
        for (int i = 0; i < jobs; i++) {
            at += -Math.log(1 - random.nextDouble()) * gapNanos;
            targets.runUntil((long) at);
            long[] times = new long[tasks];
            Arrays.setAll(times, _unused -> work(random));
            ids.add(submit(targets, random, times));
            ideals.add(Math.max(
                    Arrays.stream(times).max().orElseThrow() / spread,
                    Arrays.stream(times).sum() / capacity));
        }
        targets.runFor(Duration.ofMinutes(2));
        report(policy, targets, ids, ideals);
    }

    private SubmissionId submit(FakeTargets targets, Random random, long[] times) {
        List<TaskSpec> specs = new ArrayList<>();
        for (long time : times) {
            double wrong = Math.pow(4, 2 * random.nextDouble() - 1);
            specs.add(new TaskSpec(Long.toString(time), Math.max(1, Math.round(time * wrong))));
        }
        return targets.submit(new JobRequest(
                FakeTargets.SERVICE, "clerks", "check", true, Duration.ofMinutes(1), ImmutableList.copyOf(specs)));
    }

    /** Returns a random run time: 2 to 6 s for 3% of the tasks, and 50 ms to 1 s for the others. */
    private static long work(Random random) {
        return random.nextInt(100) < 3 ? 2000 + random.nextInt(4001) : 50 + random.nextInt(951);
    }

    private void report(String policy, FakeTargets targets, List<SubmissionId> ids, List<Double> ideals) {
        double[] ratios = new double[ids.size() - WARM_UP];
        int failed = 0;
        for (int i = WARM_UP; i < ids.size(); i++) {
            ratios[i - WARM_UP] = targets.responseNanos(ids.get(i)) / 1e6 / ideals.get(i);
            failed += targets.verdict(ids.get(i)).orElseThrow().reason() == Reason.OK ? 0 : 1;
        }
        Arrays.sort(ratios);
        System.out.printf(
                "%-18s spread %.0f load %.2f tasks %d seed %d: p50 %.2f p90 %.2f p99 %.2f p99.9 %.2f failed %d%n",
                policy,
                spread,
                load,
                tasks,
                seed,
                ratios[ratios.length / 2],
                ratios[ratios.length * 9 / 10],
                ratios[ratios.length * 99 / 100],
                ratios[(int) (ratios.length * 0.999)],
                failed);
    }
}
