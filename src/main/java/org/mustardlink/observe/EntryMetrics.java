package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkArgument;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableTable;
import com.google.common.collect.Maps;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryUsage;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Recorder;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;
import org.mustardlink.core.Reason;

/**
 * Counters, histograms and gauges of one entry host. Thread-safe.
 *
 * <p>Histograms cover the time since the process started. {@code docs/OPERATIONS.md} lists the name of every metric.
 */
public final class EntryMetrics {
    /** Team and class of the histogram that records response times once the maximum number of series is reached. */
    static final String OTHER_LABEL = "other";

    static final String RESPONSE_TIME = "response_time";
    static final String JOBS = "jobs";

    private static final long MIN_RECORDED_NANOS = 1_000;
    private static final long MAX_RECORDED_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final CharMatcher INVALID_LABEL_CHARACTERS = CharMatcher.inRange('a', 'z')
            .or(CharMatcher.inRange('A', 'Z'))
            .or(CharMatcher.inRange('0', '9'))
            .or(CharMatcher.anyOf("_-"))
            .negate()
            .precomputed();

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<Series, Timer> responseTimers = new ConcurrentHashMap<>();
    private final Map<String, JobCounters> jobCounters = new ConcurrentHashMap<>();
    private final ImmutableMap<Reason, Counter> verdicts;
    private final ImmutableMap<MessageKind, Counter> messages;
    private final Counter forwardedCalls = registry.counter("forwarded_calls");
    private final Counter droppedAnswers = registry.counter("dropped_answers");
    private final Counter placements = registry.counter("placements");
    private final Counter plannedJobs = registry.counter("planned_jobs");
    private final int maxSeries;
    private final int significantDigits;
    private final Timer loopLag;

    private EntryMetrics(int maxSeries, int significantDigits) {
        this.maxSeries = maxSeries;
        this.significantDigits = significantDigits;
        loopLag = registerTimer("loop_lag");
        // Registers every counter at the start, so that readers need not distinguish a missing series from a zero.
        verdicts = Maps.toMap(Arrays.asList(Reason.values()), reason -> registry.counter("verdicts." + reason));
        messages = Maps.toMap(Arrays.asList(MessageKind.values()), kind -> registry.counter(kind.metricName()));
        registerGauge("heap_used_bytes", () -> heapUsage().getUsed());
        registerGauge("heap_max_bytes", () -> heapUsage().getMax());
    }

    private record Series(String team, String jobClass) {
        // Runs for each answer. The generated methods of records are several times slower without the C2 compiler.
        @Override
        public boolean equals(Object object) {
            return object instanceof Series other && team.equals(other.team) && jobClass.equals(other.jobClass);
        }

        @Override
        public int hashCode() {
            return 31 * team.hashCode() + jobClass.hashCode();
        }
    }

    /** Counters of the jobs of one queue, by size and outcome. */
    private static final class JobCounters {
        private final ImmutableTable<SizeClass, JobOutcome, Counter> counters;

        private JobCounters(MetricRegistry registry, String queue) {
            ImmutableTable.Builder<SizeClass, JobOutcome, Counter> builder = ImmutableTable.builder();
            for (SizeClass size : SizeClass.values()) {
                for (JobOutcome outcome : JobOutcome.values()) {
                    builder.put(
                            size,
                            outcome,
                            registry.counter(MetricRegistry.name(JOBS, queue, size.label(), outcome.label())));
                }
            }
            counters = builder.buildOrThrow();
        }

        private void count(SizeClass size, JobOutcome outcome) {
            counters.get(size, outcome).inc();
        }
    }

    /**
     * Creates empty metrics.
     *
     * @param maxSeries maximum number of histograms, one for each team and class, and of queues whose jobs are counted
     *     by size; all further ones share one histogram or one set of counters whose labels are {@code other}
     * @param significantDigits number of significant decimal digits that the histograms keep, 1 to 3
     */
    public static EntryMetrics create(int maxSeries, int significantDigits) {
        checkArgument(maxSeries > 0, "maxSeries must be positive: %s", maxSeries);
        checkArgument(
                significantDigits >= 1 && significantDigits <= 3,
                "significantDigits must be 1 to 3: %s",
                significantDigits);
        return new EntryMetrics(maxSeries, significantDigits);
    }

    /** Counts one message of a kind. */
    public void count(MessageKind kind) {
        messages.get(kind).inc();
    }

    /** Returns the number of messages of a kind since the process started. */
    public long messageCount(MessageKind kind) {
        return messages.get(kind).getCount();
    }

    /** Counts several messages of a kind. */
    public void count(MessageKind kind, int number) {
        messages.get(kind).inc(number);
    }

    /** Counts one placement of waiting tasks, for which the given number of jobs was planned. */
    public void countPlacement(int jobs) {
        placements.inc();
        plannedJobs.inc(jobs);
    }

    /** Returns the number of placements since the process started. */
    public long placementCount() {
        return placements.getCount();
    }

    /** Returns the number of jobs planned in all placements since the process started. */
    public long plannedJobCount() {
        return plannedJobs.getCount();
    }

    /** Counts one verdict that was delivered to a requester. */
    public void count(Reason reason) {
        verdicts.get(reason).inc();
    }

    /**
     * Counts one final answer to a caller.
     *
     * @param kind kind of the answer, in lower case
     */
    public void countAnswer(String kind) {
        registry.counter("answers." + kind).inc();
    }

    /** Counts one job that got its final answer. */
    public void countJob(String queue, SizeClass size, JobOutcome outcome) {
        jobCounters(toLabel(queue)).count(size, outcome);
    }

    /** Counts one request that was forwarded to the entry host that owns its session. */
    public void countForwardedCall() {
        forwardedCalls.inc();
    }

    /** Counts one answer that was dropped because its requester had disconnected. */
    public void countDroppedAnswer() {
        droppedAnswers.inc();
    }

    /** Records the time from the arrival of a job to its complete answer, in nanoseconds. */
    public void recordResponseTime(String team, String jobClass, long nanos) {
        responseTimer(team, jobClass).update(clamp(nanos), TimeUnit.NANOSECONDS);
    }

    /** Records how long the oldest event of a tick waited for the event loop, in nanoseconds. */
    public void recordLoopLag(long nanos) {
        loopLag.update(clamp(nanos), TimeUnit.NANOSECONDS);
    }

    /**
     * Registers a gauge whose value is read at each export of the metrics.
     *
     * @param name lower-case words joined by underscores
     * @param value thread-safe source of the number
     */
    public void registerGauge(String name, Gauge<? extends Number> value) {
        Gauge<? extends Number> _registered = registry.registerGauge(name, value);
    }

    /** Returns the registry, for the exporters. */
    MetricRegistry registry() {
        return registry;
    }

    private Timer responseTimer(String team, String jobClass) {
        Series labels = new Series(toLabel(team), toLabel(jobClass));
        return Optional.ofNullable(responseTimers.get(labels)).orElseGet(() -> addResponseTimer(labels));
    }

    /** Synchronized, so that concurrent first jobs of many teams cannot exceed the maximum number of series. */
    private synchronized Timer addResponseTimer(Series labels) {
        if (responseTimers.size() >= maxSeries && !responseTimers.containsKey(labels)) {
            return registerTimer(MetricRegistry.name(RESPONSE_TIME, OTHER_LABEL, OTHER_LABEL));
        }
        return responseTimers.computeIfAbsent(
                labels, key -> registerTimer(MetricRegistry.name(RESPONSE_TIME, key.team(), key.jobClass())));
    }

    private JobCounters jobCounters(String queue) {
        return Optional.ofNullable(jobCounters.get(queue)).orElseGet(() -> addJobCounters(queue));
    }

    /** Synchronized, so that concurrent first jobs of many queues cannot exceed the maximum number of series. */
    private synchronized JobCounters addJobCounters(String queue) {
        String label = jobCounters.size() < maxSeries || jobCounters.containsKey(queue) ? queue : OTHER_LABEL;
        // Registers every counter of a queue at once, so that readers need not distinguish a missing series from a
        // zero.
        return jobCounters.computeIfAbsent(label, key -> new JobCounters(registry, key));
    }

    private Timer registerTimer(String name) {
        return registry.timer(name, this::newTimer);
    }

    private Timer newTimer() {
        return new Timer(
                new HdrHistogramReservoir(new Recorder(MIN_RECORDED_NANOS, MAX_RECORDED_NANOS, significantDigits)));
    }

    /**
     * Replaces every character other than letters, digits, underscores and hyphens by an underscore. A dot would
     * split the name of the metric.
     */
    private static String toLabel(String text) {
        String cleaned = INVALID_LABEL_CHARACTERS.replaceFrom(text, '_');
        return cleaned.isEmpty() ? "none" : cleaned;
    }

    private static long clamp(long nanos) {
        return Math.max(0, Math.min(nanos, MAX_RECORDED_NANOS));
    }

    private static MemoryUsage heapUsage() {
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage();
    }
}
