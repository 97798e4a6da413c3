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
 * <p>Additional arrivals (a flood, a wave) draw from streams of their own, so the other jobs stay the same without them.
 */
final class Workload {
    static final String FLOODING_TEAM = "flood";
    static final String CANCELLING_TEAM = "cancels";

    private static final ImmutableList<String> TEAMS = ImmutableList.of("checks", "quotes", "seals", "bookings");
    private static final double LONG_SHARE = 0.03;
    private static final double MEAN_RUN_MS = (1 - LONG_SHARE) * (50 + 1000) / 2 + LONG_SHARE * (2000 + 6000) / 2;
    private static final double MAX_DECLARED_ERROR = 4;
    private static final int BURST_PERIOD_S = 5;
    private static final double BURST_FACTOR = 3;
    private static final int WAVE_PERIOD_S = 5;
    private static final double WAVE_LEAD_S = 0.5;

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
        if (settings.arrivals() == Arrivals.FLOOD) {
            workload.addFlood(additional);
        } else if (settings.arrivals() == Arrivals.CANCELS) {
            workload.addWaves(additional);
        }
        return workload.numbered();
    }

    private ImmutableList<JobPlan> numbered() {
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
        double rate = settings.load() * fullRate();
        double burstPhase = random.nextDouble() * BURST_PERIOD_S;
        DoubleUnaryOperator factor = second -> settings.overloadAt(second)
                * (settings.arrivals() == Arrivals.BURSTS ? burstFactor(second + burstPhase) : 1);
        double peak = settings.arrivals() == Arrivals.BURSTS ? BURST_FACTOR : 1;
        addPoisson(random, 0, rate * peak * settings.highestOverload(), second -> {
            String team = TEAMS.get(random.nextInt(TEAMS.size()));
            // Thinning: candidates arrive at the highest rate and are kept in proportion to the rate of the moment.
            boolean kept = random.nextDouble() < factor.applyAsDouble(second) / (peak * settings.highestOverload());
            JobPlan job = job(random, second, team, settings.sizes().choose(random.nextDouble()), OptionalLong.empty());
            if (kept) {
                jobs.add(job);
            }
        });
    }

    private void addFlood(SplittableRandom random) {
        addPoisson(
                random,
                settings.warmupSeconds() + settings.seconds() / 4.0,
                fullRate(),
                second -> jobs.add(job(
                        random,
                        second,
                        FLOODING_TEAM,
                        settings.sizes().choose(random.nextDouble()),
                        OptionalLong.empty())));
    }

    private void addWaves(SplittableRandom random) {
        for (int wave = WAVE_PERIOD_S; wave < settings.totalSeconds(); wave += WAVE_PERIOD_S) {
            for (int i = 0; i < settings.waveJobs(); i++) {
                double second = wave - WAVE_LEAD_S * random.nextDouble();
                jobs.add(job(
                        random,
                        second,
                        CANCELLING_TEAM,
                        JobClass.SINGLE,
                        OptionalLong.of(TimeUnit.SECONDS.toNanos(wave))));
            }
        }
    }

    /** Returns the jobs per second that keep every slot busy. */
    private double fullRate() {
        double capacityMsPerSecond = settings.domains() * settings.capacity().total() * 1000;
        return capacityMsPerSecond / (settings.sizes().mean() * MEAN_RUN_MS);
    }

    private void addPoisson(RandomGenerator random, double from, double rate, Arrival arrival) {
        double second = from - Math.log(1 - random.nextDouble()) / rate;
        while (second < settings.totalSeconds()) {
            arrival.at(second);
            second -= Math.log(1 - random.nextDouble()) / rate;
        }
    }

    private JobPlan job(RandomGenerator random, double second, String team, JobClass jobClass, OptionalLong cancelled) {
        int size = jobClass.size(random);
        ImmutableList.Builder<JobPlan.TaskPlan> tasks = ImmutableList.builder();
        for (int i = 0; i < size; i++) {
            tasks.add(task(random));
        }
        return new JobPlan(
                0,
                Math.round(second * 1e9),
                jobClass,
                team,
                random.nextInt(settings.domains()),
                random.nextDouble(),
                tasks.build(),
                cancelled);
    }

    private static JobPlan.TaskPlan task(RandomGenerator random) {
        long runMs = random.nextDouble() < LONG_SHARE ? random.nextLong(2000, 6001) : random.nextLong(50, 1001);
        double error = Math.pow(MAX_DECLARED_ERROR, 2 * random.nextDouble() - 1);
        return new JobPlan.TaskPlan(runMs, Math.max(1, Math.round(runMs * error)));
    }

    private static double burstFactor(double second) {
        double calm = (BURST_PERIOD_S - BURST_FACTOR) / (BURST_PERIOD_S - 1);
        return second % BURST_PERIOD_S < 1 ? BURST_FACTOR : calm;
    }

    @FunctionalInterface
    private interface Arrival {
        void at(double second);
    }
}
