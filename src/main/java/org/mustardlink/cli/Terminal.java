package org.mustardlink.cli;

/** Tells whether the process is attached to a terminal. */
final class Terminal {
    private Terminal() {}

    /**
     * Returns whether both standard input and standard output are a terminal. On JDK 17, which the build targets,
     * {@link System#console} returns null otherwise.
     */
    @SuppressWarnings("SystemConsoleNull")
    static boolean isPresent() {
        return System.console() != null;
    }
}
