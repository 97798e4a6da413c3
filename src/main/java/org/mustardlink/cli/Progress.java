package org.mustardlink.cli;

import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A line on standard error that tells how long work has been going on; only on a terminal. */
final class Progress implements AutoCloseable {
    private static final int WIDTH = 79;

    private final ScheduledExecutorService timer;
    private final long started = System.nanoTime();
    private final Supplier<String> what;

    private Progress(ScheduledExecutorService timer, Supplier<String> what) {
        this.timer = timer;
        this.what = what;
    }

    static Progress start(String what) {
        return start(() -> what);
    }

    static Progress start(Supplier<String> what) {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "progress");
            thread.setDaemon(true);
            return thread;
        });
        Progress progress = new Progress(timer, what);
        if (Terminal.isPresent()) {
            Future<?> _ticking = timer.scheduleAtFixedRate(progress::show, 1, 1, TimeUnit.SECONDS);
        }
        return progress;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        if (Terminal.isPresent()) {
            System.err.print('\r' + " ".repeat(WIDTH) + '\r');
        }
    }

    private void show() {
        long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - started);
        String line = what.get() + ", " + seconds + " s";
        System.err.print('\r' + line.substring(0, Math.min(line.length(), WIDTH)));
    }
}
