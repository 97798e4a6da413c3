import java.nio.file.Path;
import java.util.List;

/** Runs one case and ends with a status that run.sh can tell from those of a virtual machine that failed. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 10;
    static final int NOT_RUN = 20;

    private Case() {}

    /** The steps of a case; returns a description of each breach of the rule. */
    interface Steps {
        List<String> run(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    /** Thrown when a case could not be carried out as intended. */
    static final class NotRun extends Exception {
        private static final long serialVersionUID = 1L;

        NotRun(String reason) {
            super(reason);
        }
    }

    static void main(String[] arguments, Steps steps) {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        Record record = new Record(Path.of(arguments[0]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Deployment deployment = new Deployment(record)) {
            List<String> breaches = steps.run(deployment, record, trouble);
            breaches.forEach(breach -> report(record, "BROKEN: " + breach));
            if (breaches.isEmpty()) {
                report(record, "the rule held");
            }
            status = breaches.isEmpty() ? HELD : BROKEN;
        } catch (Exception e) {
            report(record, "the case could not run: " + e);
            status = NOT_RUN;
        }
        System.exit(status);
    }

    private static void report(Record record, String text) {
        record.line(text);
        System.out.println(text);
    }
}
