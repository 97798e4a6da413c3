import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writes what was sent, answered and run to a file, and finds runs of one task that overlap. Thread-safe. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();
    private final List<Runner.Run> runs = new ArrayList<>();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes a line, with the seconds since the start. */
    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%9.4f  %s", seconds(System.nanoTime()), text));
    }

    double seconds(long nanos) {
        return (nanos - startNanos) / 1e9;
    }

    synchronized void started(Runner.Run run) {
        runs.add(run);
        line("run started: " + run.task + " run " + run.number + " on " + run.runner + " " + run.labels);
    }

    synchronized List<Runner.Run> runs() {
        return List.copyOf(runs);
    }

    /** Returns how many runs of a job have started. */
    synchronized long startedRuns(String job) {
        return runs.stream().filter(run -> run.task.startsWith(job + ".")).count();
    }

    /** Returns how many runs of a job have started on a runner. */
    synchronized long startedRuns(String job, String runner) {
        return runs.stream()
                .filter(run -> run.task.startsWith(job + ".") && run.runner.equals(runner))
                .count();
    }

    /** Describes each pair of runs of one task that were at work at the same time. */
    synchronized List<String> overlaps() {
        Map<String, List<Runner.Run>> byTask = new HashMap<>();
        runs.forEach(run -> byTask.computeIfAbsent(run.task, _task -> new ArrayList<>()).add(run));
        List<String> found = new ArrayList<>();
        long now = System.nanoTime();
        byTask.values().forEach(list -> {
            for (int i = 0; i < list.size(); i++) {
                for (int j = i + 1; j < list.size(); j++) {
                    Runner.Run a = list.get(i);
                    Runner.Run b = list.get(j);
                    long from = Math.max(a.startNanos, b.startNanos);
                    long to = Math.min(now, Math.min(a.endNanos, b.endNanos));
                    if (to > from) {
                        found.add(String.format(
                                Locale.ROOT,
                                "task %s: run %d on %s (%.3f to %.3f, %s) and run %d on %s (%.3f to %.3f, %s) overlap"
                                        + " by %.1f ms",
                                a.task,
                                a.number,
                                a.runner,
                                seconds(a.startNanos),
                                seconds(Math.min(now, a.endNanos)),
                                a.how,
                                b.number,
                                b.runner,
                                seconds(b.startNanos),
                                seconds(Math.min(now, b.endNanos)),
                                b.how,
                                (to - from) / 1e6));
                    }
                }
            }
        });
        return found;
    }
}
