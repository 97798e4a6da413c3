package org.mustardlink.load;

import java.util.Locale;
import java.util.random.RandomGenerator;
import org.mustardlink.core.JobRequest;

/** Classes of jobs by their number of tasks. */
enum JobClass {
    SINGLE,
    TWENTY,
    MIXED;

    int drawTaskCount(RandomGenerator random) {
        return switch (this) {
            case SINGLE -> 1;
            case TWENTY -> 20;
            case MIXED -> (int) Math.floor(Math.exp(random.nextDouble() * Math.log(JobRequest.MAX_TASKS + 1)));
        };
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
