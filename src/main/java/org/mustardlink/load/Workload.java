package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleUnaryOperator;
import java.util.random.RandomGenerator;

/**
 * Generates the jobs of a run. The same settings and seed give the same jobs.
 *
 * <p>Additional arrivals (a flood or a wave) use separate random streams, so that the other jobs are the same with and
 * without them.
 */
final class Workload {
    static final String FLOODING_TEAM = "flood";
    static final String CANCELLING_TEAM = "cancels";

    private static final ImmutableList<String> TEAMS = ImmutableList.of("checks", "quotes", "seals", "bookings");
    private static final double LONG_TASK_SHARE = 0.03;
    private static final double MEAN_RUN_MS =
            (1 - LONG_TASK_SHARE) * (50 + 1000) / 2 + LONG_TASK_SHARE * (2000 + 6000) / 2;
    private static final double MAX_DECLARED_ERROR_FACTOR = 4;
    private static final int BURST_PERIOD_S = 5;
    private static final double BURST_FACTOR = 3;
    private static final int WAVE_PERIOD_S = 5;
    private static final double WAVE_ARRIVAL_WINDOW_S = 0.5;

    private final LoadSettings settings;
    private final List<JobPlan> jobs = new ArrayList<>();

    private Workload(LoadSettings settings) {
        this.settings = settings;
    }

    static ImmutableList<JobPlan> generate(LoadSettings settings) {
        Workload workload = new Workload(settings);
        SplittableRandom seeds = new SplittableRandom(settings.seed());
        workload.addSteady(seeds.split());
        SplittableRandom additional = seeds.split();
        if (settings.arrivals() == ArrivalPattern.FLOOD) {
            workload.addFlood(additional);
        } else if (settings.arrivals() == ArrivalPattern.CANCELS) {
            workload.addWaves(additional);
        }
        return workload.sortAndNumber();
    }

    private ImmutableList<JobPlan> sortAndNumber() {
        jobs.sort(Comparator.comparingLong(JobPlan::arrivalNanos));
        ImmutableList.Builder<JobPlan> result = ImmutableList.builder();
        int number = 0;
        for (JobPlan job : jobs) {
            result.add(new JobPlan(
                    number++,
                    job.arrivalNanos(),
                    job.jobClass(),
                    job.team(),
                    job.domain(),
                    job.entryDraw(),
                    job.tasks(),
                    job.cancelNanos()));
        }
        return result.build();
    }

    private void addSteady(SplittableRandom random) {
        double jobsPerSecond = settings.load() * capacityJobsPerSecond();
        double burstPhase = random.nextDouble() * BURST_PERIOD_S;
        DoubleUnaryOperator rateFactor = second -> settings.overloadAt(second)
                * (settings.arrivals() == ArrivalPattern.BURSTS ? burstFactor(second + burstPhase) : 1);
        double peakFactor = settings.arrivals() == ArrivalPattern.BURSTS ? BURST_FACTOR : 1;
        addPoisson(random, 0, jobsPerSecond * peakFactor * settings.maxOverload(), second -> {
            String team = TEAMS.get(random.nextInt(TEAMS.size()));
            // Thinning: candidates arrive at the highest rate, and each is kept with a probability equal to the
            // ratio of the current rate to the highest rate.
            boolean isKept =
                    random.nextDouble() < rateFactor.applyAsDouble(second) / (peakFactor * settings.maxOverload());
            JobPlan job =
                    drawJob(random, second, team, settings.sizes().classFor(random.nextDouble()), OptionalLong.empty());
            if (isKept) {
                jobs.add(job);
            }
        });
    }

    private void addFlood(SplittableRandom random) {
        addPoisson(
                random,
                settings.warmupSeconds() + settings.seconds() / 4.0,
                capacityJobsPerSecond(),
                second -> jobs.add(drawJob(
                        random,
                        second,
                        FLOODING_TEAM,
                        settings.sizes().classFor(random.nextDouble()),
                        OptionalLong.empty())));
    }

    private void addWaves(SplittableRandom random) {
        for (int waveSecond = WAVE_PERIOD_S; waveSecond < settings.totalSeconds(); waveSecond += WAVE_PERIOD_S) {
            for (int i = 0; i < settings.waveJobs(); i++) {
                double second = waveSecond - WAVE_ARRIVAL_WINDOW_S * random.nextDouble();
                jobs.add(drawJob(
                        random,
                        second,
                        CANCELLING_TEAM,
                        JobClass.SINGLE,
                        OptionalLong.of(TimeUnit.SECONDS.toNanos(waveSecond))));
            }
        }
    }

    /** Returns the arrival rate in jobs per second that keeps all slots busy. */
    private double capacityJobsPerSecond() {
        double capacityMsPerSecond = settings.domains() * settings.capacity().workPerSecond() * 1000;
        return capacityMsPerSecond / (settings.sizes().meanTaskCount() * MEAN_RUN_MS);
    }

    private void addPoisson(
            RandomGenerator random, double fromSecond, double jobsPerSecond, ArrivalHandler arrivalHandler) {
        double second = fromSecond - Math.log(1 - random.nextDouble()) / jobsPerSecond;
        while (second < settings.totalSeconds()) {
            arrivalHandler.onArrival(second);
            second -= Math.log(1 - random.nextDouble()) / jobsPerSecond;
        }
    }

    private JobPlan drawJob(
            RandomGenerator random, double second, String team, JobClass jobClass, OptionalLong cancelNanos) {
        int taskCount = jobClass.drawTaskCount(random);
        ImmutableList.Builder<JobPlan.TaskPlan> tasks = ImmutableList.builder();
        for (int i = 0; i < taskCount; i++) {
            tasks.add(drawTask(random));
        }
        return new JobPlan(
                0,
                Math.round(second * 1e9),
                jobClass,
                team,
                random.nextInt(settings.domains()),
                random.nextDouble(),
                tasks.build(),
                cancelNanos);
    }

    private static JobPlan.TaskPlan drawTask(RandomGenerator random) {
        long runMs = random.nextDouble() < LONG_TASK_SHARE ? random.nextLong(2000, 6001) : random.nextLong(50, 1001);
        double errorFactor = Math.pow(MAX_DECLARED_ERROR_FACTOR, 2 * random.nextDouble() - 1);
        return new JobPlan.TaskPlan(runMs, Math.max(1, Math.round(runMs * errorFactor)));
    }

    private static double burstFactor(double second) {
        double offPeakFactor = (BURST_PERIOD_S - BURST_FACTOR) / (BURST_PERIOD_S - 1);
        return second % BURST_PERIOD_S < 1 ? BURST_FACTOR : offPeakFactor;
    }

    @FunctionalInterface
    private interface ArrivalHandler {
        void onArrival(double second);
    }
}
