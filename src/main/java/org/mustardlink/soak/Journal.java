package org.mustardlink.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;

/**
 * Writes the events of callers and targets to a file, one a line. Each line has the wall-clock time, so that it can be
 * matched with the hosts' logs, and the time since the start of the soak. Thread-safe.
 */
final class Journal implements AutoCloseable {
    private final PrintWriter writer;

    private Journal(PrintWriter writer) {
        this.writer = writer;
    }

    static Journal open(Path file) throws IOException {
        return new Journal(new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8)));
    }

    synchronized void write(long atMs, String text) {
        writer.println(Instant.now() + " " + atMs + " " + text);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
