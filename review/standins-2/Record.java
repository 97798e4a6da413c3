import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Writes record.txt: what was sent, answered and run, with the time since the start. Thread-safe. */
class Record implements Runner.Listener, AutoCloseable {
    private final long startedNanos = System.nanoTime();
    private final PrintWriter out;
    private final List<Run> runs = new ArrayList<>();

    /** One run of a task; {@code endNanos} is {@code Long.MAX_VALUE} while it is at work. */
    static final class Run {
        final String runner;
        final String task;
        final int number;
        final long startNanos;
        volatile long endNanos = Long.MAX_VALUE;
        volatile String end = "";

        private Run(String runner, String task, int number, long startNanos) {
            this.runner = runner;
            this.task = task;
            this.number = number;
            this.startNanos = startNanos;
        }
    }

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void line(String text) {
        lineAt(System.nanoTime(), text);
    }

    private void lineAt(long nanos, String text) {
        out.printf("%9.3f %s%n", (nanos - startedNanos) / 1e9, text);
        out.flush();
    }

    long startedNanos() {
        return startedNanos;
    }

    double seconds(long nanos) {
        return (nanos - startedNanos) / 1e9;
    }

    @Override
    public synchronized void onStart(Runner runner, String task, int run, String spec, List<String> present) {
        long nanos = System.nanoTime();
        String target = runner.id;
        runs.add(new Run(target, task, run, nanos));
        lineAt(nanos, "start on " + target + ": " + task + " run " + run);
    }

    @Override
    public synchronized void onEnd(Runner runner, String task, int run, String how) {
        long nanos = System.nanoTime();
        String target = runner.id;
        for (Run known : runs) {
            if (known.endNanos == Long.MAX_VALUE
                    && known.runner.equals(target)
                    && known.task.equals(task)
                    && known.number == run) {
                known.endNanos = nanos;
                known.end = how;
            }
        }
        lineAt(nanos, "end on " + target + ": " + task + " run " + run + " " + how);
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(runs);
    }

    /** Returns the pairs of runs of one task that were at work at the same time on two runners. */
    List<String> overlaps() {
        List<String> found = new ArrayList<>();
        List<Run> all = runs();
        for (int i = 0; i < all.size(); i++) {
            for (int j = i + 1; j < all.size(); j++) {
                Run a = all.get(i);
                Run b = all.get(j);
                long from = Math.max(a.startNanos, b.startNanos);
                long to = Math.min(a.endNanos, b.endNanos);
                if (a.task.equals(b.task) && !a.runner.equals(b.runner) && from < to) {
                    found.add(String.format(
                            "%s on %s and %s, from %.3f s on, for %.3f s",
                            a.task, a.runner, b.runner, seconds(from), (Math.min(to, System.nanoTime()) - from) / 1e9));
                }
            }
        }
        return found;
    }

    static void sleepMs(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
