package org.mustardlink.cli;

import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Shows an activity and its elapsed time on one line of standard error. Prints nothing if there is no terminal. */
final class Progress implements AutoCloseable {
    private static final int MAX_LINE_LENGTH = 79;

    private final ScheduledExecutorService timer;
    private final long startNanos = System.nanoTime();
    private final Supplier<String> activity;

    private Progress(ScheduledExecutorService timer, Supplier<String> activity) {
        this.timer = timer;
        this.activity = activity;
    }

    static Progress start(String activity) {
        return start(() -> activity);
    }

    static Progress start(Supplier<String> activity) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "progress");
            thread.setDaemon(true);
            return thread;
        });
        Progress progress = new Progress(timer, activity);
        if (Terminal.isPresent()) {
            Future<?> _ticking = timer.scheduleAtFixedRate(progress::printLine, 1, 1, TimeUnit.SECONDS);
        }
        return progress;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        if (Terminal.isPresent()) {
            System.err.print('\r' + " ".repeat(MAX_LINE_LENGTH) + '\r');
        }
    }

    private void printLine() {
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startNanos);
        String line = activity.get() + ", " + seconds + " s";
        System.err.print('\r' + line.substring(0, Math.min(line.length(), MAX_LINE_LENGTH)));
    }
}
