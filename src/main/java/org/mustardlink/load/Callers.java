package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.standin.TestBed;

/**
 * The callers of all domains, with one session for each team at each entry host.
 *
 * <p>If a submission to an entry host fails, the callers of its domain use only the domain's other entry hosts from
 * then on.
 */
final class Callers {
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(10);

    private final LoadSettings settings;
    private final HttpRequester requester;
    private final CallerClient client;
    private final List<List<InetSocketAddress>> entriesByDomain = new ArrayList<>();
    private final Map<SessionKey, Session> sessions = new ConcurrentHashMap<>();

    Callers(LoadSettings settings, ImmutableList<InetSocketAddress> entries, HttpRequester requester) {
        this.settings = settings;
        this.requester = requester;
        this.client = new CallerClient(requester);
        int perDomain = entries.size() / settings.domains();
        for (int domain = 0; domain < settings.domains(); domain++) {
            entriesByDomain.add(new java.util.concurrent.CopyOnWriteArrayList<>(
                    entries.subList(domain * perDomain, (domain + 1) * perDomain)));
        }
    }

    private record SessionKey(InetSocketAddress entry, String team) {}

    /** A session that is open or being opened, and its next sequence number. */
    private record Session(CompletableFuture<String> id, AtomicLong nextSequence) {}

    /** A submitted job with its submission id and the pending verdict. */
    record SentJob(
            InetSocketAddress entry,
            CompletableFuture<String> session,
            long sequence,
            CompletableFuture<VerdictDocument> verdict) {}

    /** Opens the sessions of all jobs and waits until they are open. */
    void openSessions(ImmutableList<JobPlan> jobs) {
        jobs.stream()
                .map(job -> session(entryFor(job), job.team()).id())
                .distinct()
                .forEach(CompletableFuture::join);
    }

    SentJob submit(JobPlan job) {
        InetSocketAddress entry = entryFor(job);
        Session session = session(entry, job.team());
        long sequence = session.nextSequence().getAndIncrement();
        CompletableFuture<VerdictDocument> verdict = session.id()
                .thenCompose(id -> client.submit(entry, id, sequence, jobDocument(job), settings.deadline()))
                .whenComplete((_answer, failure) -> {
                    if (failure != null) {
                        removeEntry(job.domain(), entry);
                    }
                });
        return new SentJob(entry, session.id(), sequence, verdict);
    }

    /** Cancels a submitted job without waiting for the answer. */
    void cancel(SentJob sent) {
        CompletableFuture<HttpReply> _ignored = sent.session()
                .thenCompose(id -> requester.send(
                        sent.entry(), HttpCall.delete("/v1/jobs/" + id + '/' + sent.sequence(), CANCEL_TIMEOUT)));
    }

    /** Returns the result that a task must return. */
    static String expectedAnswer(JobPlan job, int task) {
        return job.number() + "." + task;
    }

    private InetSocketAddress entryFor(JobPlan job) {
        List<InetSocketAddress> entries = entriesByDomain.get(job.domain());
        return entries.get((int) (job.entryDraw() * entries.size()));
    }

    private void removeEntry(int domain, InetSocketAddress entry) {
        List<InetSocketAddress> entries = entriesByDomain.get(domain);
        if (entries.size() > 1) {
            entries.remove(entry);
        }
    }

    private Session session(InetSocketAddress entry, String team) {
        return sessions.computeIfAbsent(
                new SessionKey(entry, team), _unused -> new Session(client.openSession(entry), new AtomicLong()));
    }

    private static ImmutableMap<String, Object> jobDocument(JobPlan job) {
        ImmutableList.Builder<ImmutableMap<String, Object>> tasks = ImmutableList.builder();
        for (int i = 0; i < job.tasks().size(); i++) {
            JobPlan.TaskPlan task = job.tasks().get(i);
            String payload = "{\"runMs\":" + task.runMs() + ",\"answer\":\"" + expectedAnswer(job, i) + "\"}";
            tasks.add(ImmutableMap.of("payload", payload, "declaredMs", task.declaredMs()));
        }
        return ImmutableMap.of(
                "service",
                TestBed.SERVICE,
                "team",
                job.team(),
                "class",
                job.jobClass().label(),
                "tasks",
                tasks.build());
    }
}
