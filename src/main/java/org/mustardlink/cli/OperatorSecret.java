package org.mustardlink.cli;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/** Reads the secret that authorizes the changes of an operator. */
final class OperatorSecret {
    /**
     * Environment variable with the path of the secret file; a command-line argument would be visible in the process
     * list.
     */
    static final String VARIABLE = "MUSTARDLINK_SECRET_FILE";

    private OperatorSecret() {}

    /**
     * Returns the HTTP headers of a request that makes a change.
     *
     * @throws CodedException with {@link ErrorCode#BAD_SETTINGS} if the secret file cannot be read
     */
    static ImmutableMap<String, String> headers() {
        String file = System.getenv(VARIABLE);
        if (file == null || file.isEmpty()) {
            return ImmutableMap.of("Content-Type", "application/json");
        }
        try {
            String secret = Files.readString(Path.of(file)).trim();
            return ImmutableMap.of("Content-Type", "application/json", "Authorization", "Bearer " + secret);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.BAD_SETTINGS, VARIABLE + ": cannot read " + file, e);
        }
    }
}
