package org.mustardlink.faults;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.Uninterruptibles;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.core.Reason;
import org.mustardlink.exercise.FaultInjectingProxy;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.Json;
import org.mustardlink.standin.StandInPlatform;
import org.mustardlink.standin.StandInTarget;

/** Cucumber steps of the fault scenarios. */
public final class FaultSteps {
    /** All slots are taken if no task has started for this long. */
    private static final int NO_START_WINDOW_MS = 300;

    private static final int TASKS_PER_JOB = 3;

    private final Map<String, CompletableFuture<HttpReply>> answers = new HashMap<>();
    private final Map<String, CompletableFuture<HttpReply>> loadAnswers = new LinkedHashMap<>();
    private final String keySuffix = "-" + Long.toString(System.nanoTime(), 36) + "-random";
    private final Map<Integer, Long> keyCreationMs = new HashMap<>();
    private final List<Socket> sockets = new ArrayList<>();
    private FaultTestDeployment deployment;
    private String rawAnswer;
    private RawTarget rawTarget;
    private String session;
    private CompletableFuture<Void> plannedStop = CompletableFuture.completedFuture(null);
    private int runMs = 50;
    private int startedByFiller;

    @After
    public void closeDeployment() throws IOException {
        plannedStop.join();
        for (Socket socket : sockets) {
            socket.close();
        }
        deployment.close();
    }

    @Given("a deployment")
    public void startDeployment() throws IOException {
        deployment = new FaultTestDeployment();
    }

    @Given("a session at {string}")
    public void openSession(String entry) {
        session = new CallerClient(deployment.requester)
                .openSession(deployment.entries.get(entry).callerAddress())
                .join();
    }

    @Given("every slot that {string} may use is taken for {int} ms")
    public void takeSlots(String entry, int ms) {
        int previousRunMs = runMs;
        runMs = ms;
        CompletableFuture<HttpReply> fillerAnswer = post(entry, jobIdentity(900), 20_000, 64);
        runMs = previousRunMs;
        // If the tasks are short, they run one after another in the same slots, and the job must have been answered. On
        // a busy machine, a time without starts does not show that all of its tasks have started.
        boolean completesSoon = ms < NO_START_WINDOW_MS;
        do {
            startedByFiller = deployment.startCounts().size();
            waitMs(NO_START_WINDOW_MS);
        } while (startedByFiller == 0
                || deployment.startCounts().size() > startedByFiller
                || (completesSoon && !fillerAnswer.isDone()));
    }

    @Given("tasks that run for {int} ms")
    public void setRunMs(int ms) {
        runMs = ms;
    }

    @When("key {int}, made {int} s ago, is submitted at {string} with {int} ms as {string}")
    public void submitKey(int number, int ageSeconds, String entry, int deadlineMs, String name) {
        answers.put(name, post(entry, keyIdentity(number, ageSeconds), deadlineMs));
    }

    @When("{word} {int} is submitted at {string} with {int} ms as {string}")
    public void submit(String identity, int number, String entry, int deadlineMs, String name) {
        boolean keyed = identity.equals("key");
        answers.put(name, post(entry, keyed ? keyIdentity(number, 0) : jobIdentity(number), deadlineMs));
    }

    @When("job {int} is looked up at {string} as {string}")
    public void lookUp(int number, String entry, String name) {
        answers.put(
                name,
                deployment.requester.send(
                        deployment.entries.get(entry).callerAddress(),
                        HttpCall.get("/v1/jobs/" + session + '/' + number, Duration.ofSeconds(20))));
    }

    @When("{int} ms pass")
    public void waitMs(int ms) {
        Uninterruptibles.sleepUninterruptibly(ms, TimeUnit.MILLISECONDS);
    }

    @When("{int} task(s) has/have been started")
    public void awaitStarts(int count) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(5))
                .until(() -> deployment.startCounts().size() == startedByFiller + count);
    }

    @When("entry host {string} is killed")
    public void kill(String entry) {
        deployment.entries.get(entry).close();
    }

    @When("entry host {string} is started again")
    public void startAgain(String entry) throws IOException {
        deployment.startEntry(entry);
        deployment.awaitPeers();
    }

    @When("entry host {string} is frozen for {int} ms")
    public void freeze(String entry, int ms) {
        deployment.entries.get(entry).stallLoop(Duration.ofMillis(ms));
    }

    @When("entry host {string} is stopped with a grace of {int} ms")
    public void stop(String entry, int graceMs) {
        plannedStop = CompletableFuture.runAsync(
                () -> deployment.entries.get(entry).stop(Duration.ofMillis(graceMs)),
                task -> new Thread(task, "planned-stop").start());
    }

    @When("the planned stop is over")
    public void awaitPlannedStop() {
        plannedStop.join();
    }

    @When("{int} jobs are submitted at {string} over {int} ms")
    public void submitLoad(int count, String entry, int overMs) {
        for (int i = 0; i < count; i++) {
            loadAnswers.put(session + '/' + (1000 + i), post(entry, jobIdentity(1000 + i), 4000));
            waitMs(overMs / count);
        }
    }

    @When("every target is {word}")
    public void switchTargets(String mode) {
        deployment.targets.values().forEach(target -> target.switchMode(StandInTarget.Mode.valueOf(mode)));
    }

    @When("target {string} is killed")
    public void killTarget(String target) {
        deployment.targetRelays.get(target).close();
        deployment.targets.get(target).close();
    }

    @When("every open connection to the targets goes silent")
    public void silenceTargets() {
        deployment.targetRelays.values().forEach(FaultInjectingProxy::silenceOpenConnections);
    }

    @When("every open connection to entry host {string} goes silent")
    public void silencePeer(String entry) {
        deployment.peerRelays.get(entry).silenceOpenConnections();
    }

    @When("a target answers {string}")
    public void startRawTarget(String answer) throws IOException {
        rawTarget = RawTarget.start(answer, TASKS_PER_JOB);
        deployment.targetRelays.values().forEach(relay -> relay.redirectTo(rawTarget.address()));
    }

    @Then("the raw target got every task once")
    public void checkRawTargetStarts() {
        assertThat(rawTarget.starts()).hasSize(TASKS_PER_JOB);
        assertThat(rawTarget.starts().values()).containsExactlyElementsIn(Collections.nCopies(TASKS_PER_JOB, 1));
    }

    @When("a caller sends {string} to {string}")
    public void sendMalformedJob(String what, String entry) throws IOException {
        rawAnswer = RawCaller.post(
                deployment.entries.get(entry).callerAddress(), RawCaller.malformedDocument(what, session));
    }

    @When("a caller sends {int} bytes of {word} to {string}")
    public void sendLarge(int bytes, String what, String entry) throws IOException {
        String filler = Strings.repeat("a", bytes);
        String request =
                switch (what) {
                    case "header" -> "GET /health HTTP/1.1\r\nHost: a\r\nX-Long: " + filler + "\r\n\r\n";
                    case "path" -> "GET /" + filler + " HTTP/1.1\r\nHost: a\r\n\r\n";
                    case "chunks" ->
                        "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(bytes) + "\r\n" + filler;
                    default -> "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: " + bytes + "\r\n\r\n";
                };
        rawAnswer = RawCaller.exchange(deployment.entries.get(entry).callerAddress(), request);
    }

    @When("{int} callers start to send a body to {string} and never end")
    public void startIncompleteRequests(int callers, String entry) throws IOException {
        for (int i = 0; i < callers; i++) {
            sockets.add(RawCaller.startIncompleteRequest(
                    deployment.entries.get(entry).callerAddress()));
        }
    }

    @When("a peer announces a frame of {long} bytes to {string}")
    public void startPeerFrame(long bytes, String entry) throws IOException {
        sockets.add(RawCaller.startFrame(deployment.entries.get(entry).peerAddress(), (int) bytes));
    }

    @Then("the peer's connection is closed")
    public void checkPeerConnectionClosed() throws IOException {
        assertThat(RawCaller.isClosed(sockets.get(sockets.size() - 1))).isTrue();
    }

    @Then("the answer has status {int} and says {word}")
    public void checkAnswer(int status, String code) {
        assertThat(rawAnswer).startsWith("HTTP/1.1 " + status + ' ');
        assertThat(rawAnswer).contains(code.equals("nothing") ? "" : '"' + code + '"');
    }

    @When("the log is {word}")
    public void setLogState(String state) {
        deployment.platform.injectFaults(
                switch (state) {
                    case "down" -> new StandInPlatform.Faults(true, 0, false, 0);
                    case "slow" -> new StandInPlatform.Faults(false, 1000, false, 0);
                    case "losing-answers" -> new StandInPlatform.Faults(false, 0, true, 0);
                    default -> StandInPlatform.Faults.none();
                });
    }

    @When("domain a is cut off")
    public void disconnectDomain() {
        deployment.peerRelays.get("a-0").cutConnections();
        deployment.platformRelays.get("a-0").cutConnections();
    }

    @When("domain a is connected again")
    public void reconnectDomain() {
        deployment.peerRelays.get("a-0").clearFaults();
        deployment.platformRelays.get("a-0").clearFaults();
    }

    @Then("{string} ends with {word} within {int} ms")
    public void checkReason(String name, String reason, int withinMs) throws Exception {
        HttpReply reply = answers.get(name).get(withinMs, TimeUnit.MILLISECONDS);
        assertWithMessage("%s: %s", name, reply.body())
                .that(verdict(reply).reason())
                .isEqualTo(Reason.valueOf(reason));
    }

    @Then("{string} and {string} end alike within {int} ms")
    public void checkSameVerdict(String one, String other, int withinMs) throws Exception {
        HttpReply first = answers.get(one).get(withinMs, TimeUnit.MILLISECONDS);
        HttpReply second = answers.get(other).get(withinMs, TimeUnit.MILLISECONDS);
        assertThat(verdict(second)).isEqualTo(verdict(first));
        assertThat(verdict(first).reason()).isEqualTo(Reason.OK);
    }

    @Then("the connection of {string} is cut")
    public void checkConnectionCut(String name) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(3))
                .until(() -> answers.get(name).isDone());
        assertThat(answers.get(name).isCompletedExceptionally()).isTrue();
    }

    @Then("no caller of the load was cut off")
    public void checkLoadAnswered() throws Exception {
        for (CompletableFuture<HttpReply> answer : loadAnswers.values()) {
            VerdictDocument ignored = verdict(answer.get(10, TimeUnit.SECONDS));
            assertThat(ignored.outcome()).isNotNull();
        }
    }

    @Then("the load has the same verdicts at {string}")
    public void checkLoadVerdicts(String entry) throws Exception {
        for (Map.Entry<String, CompletableFuture<HttpReply>> row : loadAnswers.entrySet()) {
            HttpReply again = deployment
                    .requester
                    .send(
                            deployment.entries.get(entry).callerAddress(),
                            HttpCall.get("/v1/jobs/" + row.getKey(), Duration.ofSeconds(5)))
                    .get(5, TimeUnit.SECONDS);
            assertThat(verdict(again)).isEqualTo(verdict(row.getValue().join()));
        }
    }

    @Then("entry host {string} noticed a pause")
    public void checkPauseDetected(String entry) {
        assertThat(deployment.entries.get(entry).pauseCount()).isAtLeast(1);
    }

    @Then("{int} tasks were started, each once")
    public void checkEachStartedOnce(int count) {
        waitMs(100);
        assertThat(deployment.startCounts()).hasSize(startedByFiller + count);
        assertThat(deployment.startCounts().values())
                .containsExactlyElementsIn(Collections.nCopies(startedByFiller + count, 1));
    }

    @Then("no task was started twice")
    public void checkNoneStartedTwice() {
        waitMs(100);
        assertThat(deployment.startCounts().values().stream()
                        .filter(count -> count > 1)
                        .toList())
                .isEmpty();
    }

    private ImmutableMap<String, Object> jobIdentity(int number) {
        return ImmutableMap.of("submission", ImmutableMap.of("session", session, "sequence", number));
    }

    private ImmutableMap<String, Object> keyIdentity(int number, int ageSeconds) {
        // Within a scenario, keys of the same number have the same creation time, like the stored key of a caller.
        long created =
                keyCreationMs.computeIfAbsent(number, _unused -> System.currentTimeMillis() - ageSeconds * 1000L);
        return ImmutableMap.of("key", created + "-" + number + keySuffix);
    }

    private CompletableFuture<HttpReply> post(String entry, ImmutableMap<String, Object> identity, int deadlineMs) {
        return post(entry, identity, deadlineMs, TASKS_PER_JOB);
    }

    private CompletableFuture<HttpReply> post(
            String entry, ImmutableMap<String, Object> identity, int deadlineMs, int tasks) {
        ImmutableMap<String, Object> task =
                ImmutableMap.of("payload", "{\"runMs\":" + runMs + ",\"answer\":\"ok\"}", "declaredMs", 50);
        ImmutableMap<String, Object> job = ImmutableMap.<String, Object>builder()
                .putAll(identity)
                .put("service", FaultTestDeployment.SERVICE)
                .put("team", "clerks")
                .put("deadlineMs", deadlineMs)
                .put("tasks", Collections.nCopies(tasks, task))
                .buildOrThrow();
        return deployment.requester.send(
                deployment.entries.get(entry).callerAddress(),
                HttpCall.post("/v1/jobs", Json.write(job), Duration.ofSeconds(20)));
    }

    private static VerdictDocument verdict(HttpReply reply) throws JsonProcessingException {
        return Json.read(reply.body(), VerdictDocument.class);
    }
}
