package org.mustardlink.observe;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mustardlink.api.OperatorApi;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;

class OperatorPagesTest {
    private static final InetSocketAddress ANY_FREE_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    @TempDir
    private Path directory;

    private final AtomicBoolean configured = new AtomicBoolean();
    private final AtomicBoolean leaving = new AtomicBoolean();
    private HttpRequester requester;
    private Path secret;
    private OperatorApi api;

    @BeforeEach
    void start() throws IOException {
        secret = Files.writeString(directory.resolve("secret"), "first\n");
        EntrySettings settings = EntrySettings.forLoopback("host-1", "galpon", ANY_FREE_PORT, Map.of());
        EntryObserver observer = EntryObserver.create(settings);
        requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
        api = OperatorApi.start(ANY_FREE_PORT, Optional.of(secret));
        OperatorPages.create(settings, 7, observer, leaving::get, configured::get)
                .registerRoutes(api);
        api.route("/change", _call -> OperatorApi.Reply.json("done").toFuture());
    }

    @AfterEach
    void stop() {
        requester.close();
        api.close();
    }

    /** Guards against a load balancer that sends callers to a host without configuration or to a stopping host. */
    @Test
    void health_and_readiness_follow_the_state_of_the_host() {
        assertThat(get("/health").status()).isEqualTo(200);
        assertThat(get("/ready").status()).isEqualTo(503);

        configured.set(true);
        assertThat(get("/ready").status()).isEqualTo(200);

        leaving.set(true);
        assertThat(get("/health").status()).isEqualTo(503);
        assertThat(get("/ready").status()).isEqualTo(503);
    }

    /** Guards against a page that needs resources of other servers. */
    @Test
    void the_page_loads_nothing_from_other_servers() {
        HttpReply page = get("/");

        assertThat(page.header("Content-Type").orElse("")).startsWith("text/html");
        assertThat(page.body()).containsMatch("fetch\\('/status'");
        assertThat(page.body()).doesNotContainMatch("https?://|src=|@import|url\\(");
    }

    /** Guards against changes without the current secret, by anyone who can reach the operator address. */
    @Test
    void a_change_needs_the_secret_that_the_file_holds_now() throws IOException {
        assertThat(postChange("").status()).isEqualTo(401);
        assertThat(postChange("Bearer firs").status()).isEqualTo(401);
        assertThat(postChange("Bearer first").status()).isEqualTo(200);

        Files.writeString(secret, "second");
        assertThat(postChange("Bearer first").status()).isEqualTo(401);
        assertThat(postChange("Bearer second").status()).isEqualTo(200);

        Files.delete(secret);
        assertThat(postChange("Bearer ").status()).isEqualTo(401);
        assertThat(get("/status").status()).isEqualTo(200);
    }

    private HttpReply get(String path) {
        return requester
                .send(api.address(), HttpCall.get(path, Duration.ofSeconds(5)))
                .join();
    }

    private HttpReply postChange(String authorization) {
        ImmutableMap<String, String> headers = ImmutableMap.of("Authorization", authorization);
        return requester
                .send(api.address(), new HttpCall("POST", "/change", headers, "", Duration.ofSeconds(5)))
                .join();
    }
}
