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

/** Steps of the fault tables. */
public final class FaultSteps {
    /** Time without a start after which no slot is left. */
    private static final int SETTLING_MS = 300;

    private static final int TASKS = 3;

    private final Map<String, CompletableFuture<HttpReply>> answers = new HashMap<>();
    private final Map<String, CompletableFuture<HttpReply>> load = new LinkedHashMap<>();
    private final String keySuffix = "-" + Long.toString(System.nanoTime(), 36) + "-random";
    private final Map<Integer, Long> keyTimes = new HashMap<>();
    private final List<Socket> sockets = new ArrayList<>();
    private FaultBed bed;
    private String rawAnswer;
    private RawTarget raw;
    private String session;
    private CompletableFuture<Void> stopping = CompletableFuture.completedFuture(null);
    private int runMs = 50;
    private int held;

    @After
    public void closeBed() throws IOException {
        stopping.join();
        for (Socket socket : sockets) {
            socket.close();
        }
        bed.close();
    }

    @Given("a deployment")
    public void aDeployment() throws IOException {
        bed = new FaultBed();
    }

    @Given("a session at {string}")
    public void aSessionAt(String entry) {
        session = new CallerClient(bed.requester)
                .openSession(bed.entries.get(entry).callerAddress())
                .join();
    }

    @Given("every slot that {string} may use is taken for {int} ms")
    public void takeSlots(String entry, int ms) {
        int before = runMs;
        runMs = ms;
        CompletableFuture<HttpReply> filling = post(entry, jobIdentity(900), 20_000, 64);
        runMs = before;
        // A job whose tasks make room for each other is over when it is answered: on a busy machine it may start none
        // for a while.
        boolean ends = ms < SETTLING_MS;
        do {
            held = bed.starts().size();
            pass(SETTLING_MS);
        } while (held == 0 || bed.starts().size() > held || (ends && !filling.isDone()));
    }

    @Given("tasks that run for {int} ms")
    public void tasksThatRunFor(int ms) {
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
                bed.requester.send(
                        bed.entries.get(entry).callerAddress(),
                        HttpCall.get("/v1/jobs/" + session + '/' + number, Duration.ofSeconds(20))));
    }

    @When("{int} ms pass")
    public void pass(int ms) {
        Uninterruptibles.sleepUninterruptibly(ms, TimeUnit.MILLISECONDS);
    }

    @When("{int} task(s) has/have been started")
    public void awaitStarts(int count) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(5))
                .until(() -> bed.starts().size() == held + count);
    }

    @When("entry host {string} is killed")
    public void kill(String entry) {
        bed.entries.get(entry).close();
    }

    @When("entry host {string} is started again")
    public void startAgain(String entry) throws IOException {
        bed.startEntry(entry);
        bed.awaitPeers();
    }

    @When("entry host {string} is frozen for {int} ms")
    public void freeze(String entry, int ms) {
        bed.entries.get(entry).stall(Duration.ofMillis(ms));
    }

    @When("entry host {string} is stopped with a grace of {int} ms")
    public void stop(String entry, int graceMs) {
        stopping = CompletableFuture.runAsync(
                () -> bed.entries.get(entry).stop(Duration.ofMillis(graceMs)),
                task -> new Thread(task, "planned-stop").start());
    }

    @When("the planned stop is over")
    public void stopIsOver() {
        stopping.join();
    }

    @When("{int} jobs are submitted at {string} over {int} ms")
    public void submitLoad(int count, String entry, int overMs) {
        for (int i = 0; i < count; i++) {
            load.put(session + '/' + (1000 + i), post(entry, jobIdentity(1000 + i), 4000));
            pass(overMs / count);
        }
    }

    @When("every target is {word}")
    public void switchTargets(String mode) {
        bed.targets.values().forEach(target -> target.switchMode(StandInTarget.Mode.valueOf(mode)));
    }

    @When("target {string} is killed")
    public void killTarget(String target) {
        bed.targetRelays.get(target).close();
        bed.targets.get(target).close();
    }

    @When("every open connection to the targets goes silent")
    public void silenceTargets() {
        bed.targetRelays.values().forEach(FaultInjectingProxy::silenceOpenConnections);
    }

    @When("every open connection to entry host {string} goes silent")
    public void silencePeer(String entry) {
        bed.peerRelays.get(entry).silenceOpenConnections();
    }

    @When("a target answers {string}")
    public void rawTarget(String answer) throws IOException {
        raw = RawTarget.start(answer);
        bed.targetRelays.values().forEach(relay -> relay.redirectTo(raw.address()));
    }

    @Then("the raw target got every task once")
    public void rawStarts() {
        assertThat(raw.starts()).hasSize(TASKS);
        assertThat(raw.starts().values()).containsExactlyElementsIn(Collections.nCopies(TASKS, 1));
    }

    @When("a caller sends {string} to {string}")
    public void sendWrong(String what, String entry) throws IOException {
        rawAnswer = RawCaller.post(bed.entries.get(entry).callerAddress(), RawCaller.document(what, session));
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
        rawAnswer = RawCaller.exchange(bed.entries.get(entry).callerAddress(), request);
    }

    @When("{int} callers start to send a body to {string} and never end")
    public void sendEndless(int callers, String entry) throws IOException {
        for (int i = 0; i < callers; i++) {
            sockets.add(RawCaller.startEndless(bed.entries.get(entry).callerAddress()));
        }
    }

    @When("a peer announces a frame of {long} bytes to {string}")
    public void sendFrame(long bytes, String entry) throws IOException {
        sockets.add(RawCaller.startFrame(bed.entries.get(entry).peerAddress(), (int) bytes));
    }

    @Then("the peer's connection is closed")
    public void peerIsClosed() throws IOException {
        assertThat(RawCaller.isClosed(sockets.get(sockets.size() - 1))).isTrue();
    }

    @Then("the answer has status {int} and says {word}")
    public void answered(int status, String code) {
        assertThat(rawAnswer).startsWith("HTTP/1.1 " + status + ' ');
        assertThat(rawAnswer).contains(code.equals("nothing") ? "" : '"' + code + '"');
    }

    @When("the log is {word}")
    public void log(String state) {
        bed.platform.injectFaults(
                switch (state) {
                    case "down" -> new StandInPlatform.Faults(true, 0, false, 0);
                    case "slow" -> new StandInPlatform.Faults(false, 1000, false, 0);
                    case "losing-answers" -> new StandInPlatform.Faults(false, 0, true, 0);
                    default -> StandInPlatform.Faults.none();
                });
    }

    @When("domain a is cut off")
    public void cutOff() {
        bed.peerRelays.get("a-0").cutConnections();
        bed.platformRelays.get("a-0").cutConnections();
    }

    @When("domain a is connected again")
    public void connectAgain() {
        bed.peerRelays.get("a-0").clearFaults();
        bed.platformRelays.get("a-0").clearFaults();
    }

    @Then("{string} ends with {word} within {int} ms")
    public void endsWith(String name, String reason, int withinMs) throws Exception {
        HttpReply reply = answers.get(name).get(withinMs, TimeUnit.MILLISECONDS);
        assertWithMessage("%s: %s", name, reply.body())
                .that(verdict(reply).reason())
                .isEqualTo(Reason.valueOf(reason));
    }

    @Then("{string} and {string} end alike within {int} ms")
    public void endAlike(String one, String other, int withinMs) throws Exception {
        HttpReply first = answers.get(one).get(withinMs, TimeUnit.MILLISECONDS);
        HttpReply second = answers.get(other).get(withinMs, TimeUnit.MILLISECONDS);
        assertThat(verdict(second)).isEqualTo(verdict(first));
        assertThat(verdict(first).reason()).isEqualTo(Reason.OK);
    }

    @Then("the connection of {string} is cut")
    public void isCut(String name) {
        Awaitility.await()
                .atMost(Duration.ofSeconds(3))
                .until(() -> answers.get(name).isDone());
        assertThat(answers.get(name).isCompletedExceptionally()).isTrue();
    }

    @Then("no caller of the load was cut off")
    public void loadIsAnswered() throws Exception {
        for (CompletableFuture<HttpReply> answer : load.values()) {
            VerdictDocument ignored = verdict(answer.get(10, TimeUnit.SECONDS));
            assertThat(ignored.outcome()).isNotNull();
        }
    }

    @Then("the load has the same verdicts at {string}")
    public void sameVerdicts(String entry) throws Exception {
        for (Map.Entry<String, CompletableFuture<HttpReply>> row : load.entrySet()) {
            HttpReply again = bed.requester
                    .send(
                            bed.entries.get(entry).callerAddress(),
                            HttpCall.get("/v1/jobs/" + row.getKey(), Duration.ofSeconds(5)))
                    .get(5, TimeUnit.SECONDS);
            assertThat(verdict(again)).isEqualTo(verdict(row.getValue().join()));
        }
    }

    @Then("entry host {string} noticed a pause")
    public void noticedPause(String entry) {
        assertThat(bed.entries.get(entry).pauses()).isAtLeast(1);
    }

    @Then("{int} tasks were started, each once")
    public void startedOnce(int count) {
        pass(100);
        assertThat(bed.starts()).hasSize(held + count);
        assertThat(bed.starts().values()).containsExactlyElementsIn(Collections.nCopies(held + count, 1));
    }

    @Then("no task was started twice")
    public void noneTwice() {
        pass(100);
        assertThat(bed.starts().values().stream().filter(count -> count > 1).toList())
                .isEmpty();
    }

    private ImmutableMap<String, Object> jobIdentity(int number) {
        return ImmutableMap.of("submission", ImmutableMap.of("session", session, "sequence", number));
    }

    private ImmutableMap<String, Object> keyIdentity(int number, int ageSeconds) {
        // The same number has the same creation time within a scenario, as a caller's stored key would.
        long created = keyTimes.computeIfAbsent(number, _unused -> System.currentTimeMillis() - ageSeconds * 1000L);
        return ImmutableMap.of("key", created + "-" + number + keySuffix);
    }

    private CompletableFuture<HttpReply> post(String entry, ImmutableMap<String, Object> identity, int deadlineMs) {
        return post(entry, identity, deadlineMs, TASKS);
    }

    private CompletableFuture<HttpReply> post(
            String entry, ImmutableMap<String, Object> identity, int deadlineMs, int tasks) {
        ImmutableMap<String, Object> task =
                ImmutableMap.of("payload", "{\"runMs\":" + runMs + ",\"answer\":\"ok\"}", "declaredMs", 50);
        ImmutableMap<String, Object> job = ImmutableMap.<String, Object>builder()
                .putAll(identity)
                .put("service", FaultBed.SERVICE)
                .put("team", "clerks")
                .put("deadlineMs", deadlineMs)
                .put("tasks", Collections.nCopies(tasks, task))
                .buildOrThrow();
        return bed.requester.send(
                bed.entries.get(entry).callerAddress(),
                HttpCall.post("/v1/jobs", Json.write(job), Duration.ofSeconds(20)));
    }

    private static VerdictDocument verdict(HttpReply reply) throws JsonProcessingException {
        return Json.read(reply.body(), VerdictDocument.class);
    }
}
