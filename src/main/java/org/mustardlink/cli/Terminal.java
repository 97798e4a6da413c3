package org.mustardlink.cli;

/** Tells whether a person at a terminal reads the output. */
final class Terminal {
    private Terminal() {}

    /** Returns whether both input and output are a terminal; JDK 17, which the build targets, has no console otherwise. */
    @SuppressWarnings("SystemConsoleNull")
    static boolean isPresent() {
        return System.console() != null;
    }
}
